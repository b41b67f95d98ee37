package proof

// The key of a world is a hash over everything that can influence its future, with times relative to now, so that the search
// expands no state twice. Unexported fields are read by reflection, which keeps the cores free of code for tests.

import (
	"encoding/binary"
	"math"
	"reflect"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonstage/core/chart"
	"persimmonstage/core/group"
	"persimmonstage/core/ledger"
	"persimmonstage/core/shards"
)

type stateHasher struct {
	now time.Time
	d   *xxhash.Digest
}

var (
	timeType  = reflect.TypeFor[time.Time]()
	mapType   = reflect.TypeFor[*shards.Map]()
	bytesType = reflect.TypeFor[[]byte]()

	// constant throughout a search
	chartType        = reflect.TypeFor[*chart.Chart]()
	groupConfigType  = reflect.TypeFor[group.Config]()
	ledgerConfigType = reflect.TypeFor[ledger.Config]()
)

func (w *world) key() uint64 {
	k := stateHasher{now: w.now, d: xxhash.New()}
	k.write(reflect.ValueOf(w).Elem())
	return k.d.Sum64()
}

func (k stateHasher) writeUint(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = k.d.Write(b[:])
}

// hashOf returns a separate hash of the values.
func (k stateHasher) hashOf(vs ...reflect.Value) uint64 {
	one := stateHasher{now: k.now, d: xxhash.New()}
	for _, v := range vs {
		one.write(v)
	}
	return one.d.Sum64()
}

func (k stateHasher) write(v reflect.Value) {
	switch v.Type() {
	case timeType:
		k.writeTime(v)
		return
	case chartType, groupConfigType, ledgerConfigType:
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		k.writePointer(v)
	case reflect.Struct:
		for i := range v.NumField() {
			k.write(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		if v.Type() == bytesType {
			k.writeUint(xxhash.Sum64(v.Bytes()))
			return
		}
		k.writeUint(uint64(v.Len()))
		for i := range v.Len() {
			k.write(v.Index(i))
		}
	case reflect.Map:
		k.writeMap(v)
	case reflect.String:
		k.writeUint(uint64(v.Len()))
		_, _ = k.d.WriteString(v.String())
	case reflect.Bool:
		k.writeUint(map[bool]uint64{false: 1, true: 2}[v.Bool()])
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		k.writeUint(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		k.writeUint(v.Uint())
	default:
		panic("key: " + v.Type().String())
	}
}

func (k stateHasher) writePointer(v reflect.Value) {
	if v.IsNil() {
		k.writeUint(0)
		return
	}
	if v.Type() == mapType { // immutable, and identified by its position in this world's log
		k.writeUint(uint64(v.Elem().FieldByName("version").Int()))
		return
	}
	k.write(v.Elem())
}

// writeMap hashes a map independently of its order.
func (k stateHasher) writeMap(v reflect.Value) {
	var sum uint64
	for it := v.MapRange(); it.Next(); {
		sum += k.hashOf(it.Key(), it.Value())
	}
	k.writeUint(uint64(v.Len()))
	k.writeUint(sum)
}

// writeTime hashes a time without monotonic reading relative to now; the zero time has a value of its own.
func (k stateHasher) writeTime(v reflect.Value) {
	wall, ext := v.Field(0).Uint(), v.Field(1).Int()
	if wall == 0 && ext == 0 {
		k.writeUint(math.MaxUint64)
		return
	}
	base := reflect.ValueOf(k.now)
	k.writeUint(uint64((ext-base.Field(1).Int())*int64(time.Second) + int64(wall) - int64(base.Field(0).Uint())))
}
