// Package span learns how long the tasks of each route really take, compared with what their jobs declare.
//
// Input are the estimate and the longest task of each ended job, brought to a pace of 1; output are quantiles of their ratio and of
// the run time itself. A route has two generations of histograms: both learn, the older one is asked, and it is dropped once it is
// full or old, so evidence is forgotten and memory is bounded by the number of routes.
package span
