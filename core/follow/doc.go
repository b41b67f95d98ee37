// Package follow decides how a reader of a keyed topic of the store goes on: by a read that waits for records from an offset on, or
// by a list of the newest record of each key where a read may have missed some. It tells which answers show all records, since a
// list may be seconds old after the store has dropped its history, and a waiting read may miss a record then.
package follow
