package scheduler

import (
	"math"
	"math/bits"
)

// Kinds of VMs. VMs without accelerators are kept apart, so that work that
// needs none does not occupy the VMs that have them while there is other room.
const (
	kindPlain = iota
	kindAccelerated
	kinds
)

// Indexes that a VM is in: that of the cell and that of its failure domain.
const (
	cellIndex = iota
	domainIndex
	indexes
)

const (
	indexDims = dimAccelerators + 1 // workers have no slots
	buckets   = 128                 // four per power of two, enough for 2^32
	words     = buckets / 64
)

// indexPos is the place of a VM in one dimension of an index.
type indexPos struct {
	bucket int16
	at     int32
}

// vmIndex keeps VMs by their free amount of each resource.
type vmIndex struct {
	which int
	dims  [indexDims]dimIndex
	size  int
}

type dimIndex struct {
	vms      [buckets][]*vm
	nonempty [words]uint64
}

// domain is a failure domain with its VMs.
type domain struct {
	name  string
	index [kinds]*vmIndex
}

func newVMIndex(which int) *vmIndex { return &vmIndex{which: which} }

// bucketOf returns the bucket for a free amount. Buckets grow with the amount,
// and a larger amount never has a smaller bucket.
func bucketOf(free int64) int {
	if free < 4 {
		return int(max(0, free))
	}
	e := bits.Len64(uint64(free)) - 1
	return min(buckets-1, (e-1)*4+int(free>>(e-2))&3)
}

func (x *vmIndex) insert(v *vm) {
	for d := range x.dims {
		x.put(v, d, bucketOf(v.avail[d]))
	}
	x.size++
}

func (x *vmIndex) remove(v *vm) {
	for d := range x.dims {
		x.take(v, d)
	}
	x.size--
}

// move puts the VM into the buckets of its present free amounts.
func (x *vmIndex) move(v *vm) {
	for d := range x.dims {
		b := bucketOf(v.avail[d])
		if b != int(v.pos[x.which][d].bucket) {
			x.take(v, d)
			x.put(v, d, b)
		}
	}
}

func (x *vmIndex) put(v *vm, d, b int) {
	di := &x.dims[d]
	v.pos[x.which][d] = indexPos{bucket: int16(b), at: int32(len(di.vms[b]))}
	di.vms[b] = append(di.vms[b], v)
	di.nonempty[b/64] |= 1 << (b % 64)
}

func (x *vmIndex) take(v *vm, d int) {
	di := &x.dims[d]
	p := v.pos[x.which][d]
	list := di.vms[p.bucket]
	last := len(list) - 1
	list[p.at] = list[last]
	list[p.at].pos[x.which][d].at = p.at
	list[last] = nil
	di.vms[p.bucket] = list[:last]
	if last == 0 {
		di.nonempty[p.bucket/64] &^= 1 << (p.bucket % 64)
	}
}

// next returns the first non-empty bucket from b on, or buckets.
func (di *dimIndex) next(b int) int {
	for w := b / 64; w < words; w++ {
		set := di.nonempty[w]
		if w == b/64 {
			set &= ^uint64(0) << (b % 64)
		}
		if set != 0 {
			return w*64 + bits.TrailingZeros64(set)
		}
	}
	return buckets
}

// countFrom returns the number of VMs in buckets from b on.
func (di *dimIndex) countFrom(b int) int {
	n := 0
	for b = di.next(b); b < buckets; b = di.next(b + 1) {
		n += len(di.vms[b])
	}
	return n
}

// tightest returns the dimension in which the fewest VMs could hold size, and
// their number.
func (x *vmIndex) tightest(size vec) (dim, count int) {
	dim, count = dimCPU, x.size+1
	for d := range x.dims {
		if size[d] <= 0 {
			continue
		}
		if n := x.dims[d].countFrom(bucketOf(size[d])); n < count {
			dim, count = d, n
		}
	}
	return dim, min(count, x.size)
}

// scan calls visit for the VMs that may hold size, tightest first, until visit
// returns false.
func (x *vmIndex) scan(size vec, visit func(*vm) bool) {
	if x.size == 0 {
		return
	}
	d, count := x.tightest(size)
	if count == 0 {
		return
	}
	di := &x.dims[d]
	for b := di.next(bucketOf(size[d])); b < buckets; b = di.next(b + 1) {
		for _, v := range di.vms[b] {
			if !visit(v) {
				return
			}
		}
	}
}

// lowest returns the smallest amount in a bucket.
func lowest(b int) int64 {
	if b < 4 {
		return int64(b)
	}
	return int64(4+b%4) << (b/4 - 1)
}

// copiesBound returns an upper bound of how many tasks of the size fit.
func (x *vmIndex) copiesBound(size vec) int {
	if x.size == 0 {
		return 0
	}
	d, _ := x.tightest(size)
	if size[d] <= 0 {
		return math.MaxInt32
	}
	di, n := &x.dims[d], 0
	for b := di.next(bucketOf(size[d])); b < buckets; b = di.next(b + 1) {
		n += len(di.vms[b]) * int((lowest(b+1)-1)/size[d])
	}
	return n
}

// copiesBound returns an upper bound of how many tasks of the size fit into the
// cell now.
func (c *Cell) copiesBound(size vec) int {
	n := 0
	for _, x := range c.index {
		n += x.copiesBound(size)
	}
	return n
}
