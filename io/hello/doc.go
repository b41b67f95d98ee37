// Package hello bounds what connections of processes that haven't identified themselves hold at the ports for the system's own traffic.
package hello
