// Package reach tells from the targets that fall silent together when a whole data centre is cut off.
package reach
