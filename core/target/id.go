package target

const generationShift = 32

// ID identifies one incarnation of a target in one process: an index into tables and the generation of that index, so that the
// ID of an earlier incarnation never matches a later one; zero is no target.
type ID uint64

// New returns the ID for an index and its generation; generations start at 1.
func New(index, generation uint32) ID {
	return ID(generation)<<generationShift | ID(index)
}

// Index returns the index into tables of targets; it is reused after a target is removed.
func (id ID) Index() int {
	return int(uint32(id))
}

// Generation returns how many times the index has been assigned.
func (id ID) Generation() uint32 {
	return uint32(id >> generationShift)
}
