// Package offer decides on an agent in which order scarce room on its target is offered to the entries. If a single free slot
// were announced to many entries with waiting tasks at once, all of them would send a task and all but one would be refused. So
// the room is offered to as many random entries as there are free slots, those that have sent orders recently first; a moment
// later to as many more, and so on until the slots are taken or the room has been offered to all entries.
//
// The load pattern of the weights is a flood at entries with unequal traffic: if each entry were offered the same room, callers of
// the busy ones would be refused and those of the others served. So an entry's chance to be offered room first follows the demand
// that it reports, and rises if less of that is served than at other entries.
package offer
