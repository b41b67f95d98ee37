package wire

// Version is the version of the protocols between the processes, which every hello carries.
const Version = 1
