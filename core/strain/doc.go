// Package strain decides when an entry has too little processor time for its callers: it then refuses new jobs at once, and has the
// balancer move a part of its callers to other entries. The load is an entry that alone serves a data centre in a burst: requests, ends
// and heartbeats queue in the process, agents refuse the orders of an entry whose answers are late, and orders sent again add to the queue.
package strain
