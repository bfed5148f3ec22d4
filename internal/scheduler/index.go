package scheduler

import (
	"math"
	"math/bits"
)

// Kinds of VMs. VMs without accelerators have their own index, so that tasks
// without accelerators occupy VMs that have them only if no other VM fits.
const (
	vmKindPlain = iota
	vmKindAccelerated
	vmKindCount
)

// Scopes of the indexes that contain a VM: the partition and the failure domain
// of the VM.
const (
	scopePartition = iota
	scopeDomain
	indexScopeCount
)

const (
	indexDims   = dimAccelerators + 1 // workers have no slots
	bucketCount = 128                 // four per power of two, enough for 2^32
	bitmapWords = bucketCount / 64    // words of the bitmap of non-empty buckets
)

// indexPosition is the position of a VM in one dimension of an index.
type indexPosition struct {
	bucket int16
	offset int32 // index in the list of the bucket
}

// vmIndex groups VMs by their available amount of each resource.
type vmIndex struct {
	scope   int
	dims    [indexDims]dimIndex
	vmCount int
}

// dimIndex groups VMs into buckets by their available amount of one resource.
type dimIndex struct {
	vms      [bucketCount][]*vm
	nonempty [bitmapWords]uint64
}

// domain is a failure domain with an index of its VMs for each kind of VM.
type domain struct {
	name    string
	indexes [vmKindCount]*vmIndex
}

func newVMIndex(scope int) *vmIndex { return &vmIndex{scope: scope} }

// bucketOf returns the number of the bucket for a free amount. It never decreases
// as the amount grows, and buckets of larger amounts are wider.
func bucketOf(free int64) int {
	if free < 4 {
		return int(max(0, free))
	}
	e := bits.Len64(uint64(free)) - 1
	return min(bucketCount-1, (e-1)*4+int(free>>(e-2))&3)
}

func (x *vmIndex) insert(v *vm) {
	for d := range x.dims {
		x.insertInto(v, d, bucketOf(v.available[d]))
	}
	x.vmCount++
}

func (x *vmIndex) remove(v *vm) {
	for d := range x.dims {
		x.removeFrom(v, d)
	}
	x.vmCount--
}

// update moves the VM to the buckets of its current available amounts.
func (x *vmIndex) update(v *vm) {
	for d := range x.dims {
		b := bucketOf(v.available[d])
		if b != int(v.indexPositions[x.scope][d].bucket) {
			x.removeFrom(v, d)
			x.insertInto(v, d, b)
		}
	}
}

func (x *vmIndex) insertInto(v *vm, d, b int) {
	di := &x.dims[d]
	v.indexPositions[x.scope][d] = indexPosition{bucket: int16(b), offset: int32(len(di.vms[b]))}
	di.vms[b] = append(di.vms[b], v)
	di.nonempty[b/64] |= 1 << (b % 64)
}

func (x *vmIndex) removeFrom(v *vm, d int) {
	di := &x.dims[d]
	p := v.indexPositions[x.scope][d]
	list := di.vms[p.bucket]
	last := len(list) - 1
	list[p.offset] = list[last]
	list[p.offset].indexPositions[x.scope][d].offset = p.offset
	list[last] = nil
	di.vms[p.bucket] = list[:last]
	if last == 0 {
		di.nonempty[p.bucket/64] &^= 1 << (p.bucket % 64)
	}
}

// nextNonempty returns the first non-empty bucket at or after b, or
// bucketCount.
func (di *dimIndex) nextNonempty(b int) int {
	for w := b / 64; w < bitmapWords; w++ {
		set := di.nonempty[w]
		if w == b/64 {
			set &= ^uint64(0) << (b % 64)
		}
		if set != 0 {
			return w*64 + bits.TrailingZeros64(set)
		}
	}
	return bucketCount
}

// countFrom returns the number of VMs in the buckets from b on.
func (di *dimIndex) countFrom(b int) int {
	n := 0
	for b = di.nextNonempty(b); b < bucketCount; b = di.nextNonempty(b + 1) {
		n += len(di.vms[b])
	}
	return n
}

// scarcestDim returns the dimension in which the fewest VMs may have enough for
// size, and the number of these VMs.
func (x *vmIndex) scarcestDim(size resourceVec) (dim, count int) {
	dim, count = dimCPU, x.vmCount+1
	for d := range x.dims {
		if size[d] <= 0 {
			continue
		}
		if n := x.dims[d].countFrom(bucketOf(size[d])); n < count {
			dim, count = d, n
		}
	}
	return dim, min(count, x.vmCount)
}

// scan calls visit for the VMs that may fit size, those with the least
// available first, until visit returns false.
func (x *vmIndex) scan(size resourceVec, visit func(*vm) bool) {
	if x.vmCount == 0 {
		return
	}
	d, count := x.scarcestDim(size)
	if count == 0 {
		return
	}
	di := &x.dims[d]
	for b := di.nextNonempty(bucketOf(size[d])); b < bucketCount; b = di.nextNonempty(b + 1) {
		for _, v := range di.vms[b] {
			if !visit(v) {
				return
			}
		}
	}
}

// bucketMin returns the smallest amount in bucket b.
func bucketMin(b int) int64 {
	if b < 4 {
		return int64(b)
	}
	return int64(4+b%4) << (b/4 - 1)
}

// maxFitting returns an upper bound on the number of tasks of the size that fit
// on the VMs of the index.
func (x *vmIndex) maxFitting(size resourceVec) int {
	if x.vmCount == 0 {
		return 0
	}
	d, _ := x.scarcestDim(size)
	if size[d] <= 0 {
		return math.MaxInt32
	}
	di, n := &x.dims[d], 0
	for b := di.nextNonempty(bucketOf(size[d])); b < bucketCount; b = di.nextNonempty(b + 1) {
		n += len(di.vms[b]) * int((bucketMin(b+1)-1)/size[d])
	}
	return n
}

// maxFitting returns an upper bound on the number of tasks of the size that fit
// in the partition now.
func (s *State) maxFitting(size resourceVec) int {
	n := 0
	for _, x := range s.vmIndexes {
		n += x.maxFitting(size)
	}
	return n
}
