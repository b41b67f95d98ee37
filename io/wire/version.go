package wire

// Version is the version of the protocols between the processes; every hello contains it.
const Version = 1
