// Package flood detects floods: work of a team and kind that is submitted far above its usual rate while capacity is short.
package flood
