package target

const generationShift = 32

// ID names one incarnation of a target in one process: an index into tables and the generation of that index, so that
// an ID of an earlier incarnation never matches a later one; zero is no target.
type ID uint64

// New returns the ID of the generation of an index; generations start at 1.
func New(index, generation uint32) ID {
	return ID(generation)<<generationShift | ID(index)
}

// Index returns the position in tables of targets; it is used again after a target is gone.
func (id ID) Index() int {
	return int(uint32(id))
}

// Generation returns how often the index has been given out.
func (id ID) Generation() uint32 {
	return uint32(id >> generationShift)
}
