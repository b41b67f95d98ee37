// Package pack puts the operators' document into frames that pass a control connection: a large one is compressed.
package pack
