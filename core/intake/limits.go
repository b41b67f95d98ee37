package intake

const (
	// fileDescriptors is how many of a process's descriptors are set aside for files.
	fileDescriptors = 200
	// minConns is how many connections are served however few descriptors or how little memory the settings give.
	minConns = 8
	// reservedShare is the part of the sockets, as a divisor, that is kept for agents, the store and the platform.
	reservedShare = 4
	// ownBytes is the memory that a process takes without callers: half of it is the program itself.
	ownBytes = 32 << 20
	// connShare and byteShare are the parts of the remaining memory, as divisors, for connections and for what large requests hold. The garbage
	// collector lets the heap grow to twice what is in use.
	connShare = 4
	byteShare = 8
	// unservedShare is the part of the connections, as a divisor, that is kept from requests that take long.
	unservedShare = 8
	// unidentifiedByteShare and unidentifiedConnShare are the parts, as divisors, of that memory and of the reserved sockets that processes
	// may hold which haven't identified themselves.
	unidentifiedByteShare = 16
	unidentifiedConnShare = 2
)

// Limits bounds what callers may hold together; 0 stands for no limit.
type Limits struct {
	Conns int   // connections
	Bytes int64 // of large requests that are being read
	// Framing is the rate, in bytes a second, at which framing is read that exceeds the bodies of its requests by far.
	Framing int64
	Buffer  int64 // bytes that the kernel may keep of a connection in each direction until they are read
}

// UnidentifiedLimits returns the limits of connections of processes that haven't identified themselves, at one of the given number of
// ports for the system's own traffic.
func UnidentifiedLimits(memoryBytes int64, descriptors, ports int) Limits {
	var l Limits
	if memoryBytes > 0 {
		l.Bytes = freeMemory(memoryBytes) / unidentifiedByteShare / int64(ports)
	}
	if descriptors > 0 {
		l.Conns = max(minConns, (descriptors-fileDescriptors)/reservedShare/unidentifiedConnShare/ports)
	}
	return l
}

// freeMemory returns the memory that is left for callers and other processes.
func freeMemory(memoryBytes int64) int64 { return max(memoryBytes/connShare, memoryBytes-ownBytes) }

// LimitsOf returns the limits of a process with the given memory and descriptors, 0 for unknown, in which a connection whose request
// isn't large takes connBytes.
func LimitsOf(memoryBytes int64, descriptors int, connBytes int64) Limits {
	var l Limits
	if memoryBytes > 0 {
		free := freeMemory(memoryBytes)
		l = Limits{Conns: max(minConns, int(free/connShare/connBytes)), Bytes: free / byteShare, Buffer: connBytes}
	}
	if descriptors > 0 {
		sockets := descriptors - fileDescriptors
		conns := max(minConns, sockets-sockets/reservedShare)
		if l.Conns == 0 || conns < l.Conns {
			l.Conns = conns
		}
	}
	return l
}
