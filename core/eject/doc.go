// Package eject judges which targets are sick and takes them out of placement until a probe finds them well.
package eject
