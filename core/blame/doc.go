// Package blame infers from reports of crashed targets which tasks crash their targets and which routes have such tasks. A report
// lists all tasks that ran at the crash, usually a single cause among ten or more; a cause shows by crashing further targets.
package blame
