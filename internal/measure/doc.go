// Package measure measures the resource usage of endivehill by cell size. It runs
// cells of several sizes on loopback, with the stand-ins for the platform in this
// process, and measures the processor time, memory and traffic of each node and
// the operations of the table service. docs/CAPACITY.md is derived from linear fits
// of these values over the size.
package measure
