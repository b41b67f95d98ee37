// Package golden runs the sessions under test/cases and compares their output with the expected files.
//
// A case is a folder: cmd is the script, expected is the transcript of the session, every other file is an input. To add
// one, write cmd and the inputs and run make accept. The script language is that of testscript; run, post, get and send add
// to the transcript, after addresses, ids, times and durations are replaced by placeholders.
package golden
