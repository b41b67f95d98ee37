package proof

// The key of a world is a hash over everything that can influence its future, with times relative to the present, so that the
// search meets no state twice. Private fields are read by reflection, which keeps the cores free of code for tests.

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

type keyer struct {
	now time.Time
	d   *xxhash.Digest
}

var (
	timeType  = reflect.TypeFor[time.Time]()
	mapType   = reflect.TypeFor[*shards.Map]()
	bytesType = reflect.TypeFor[[]byte]()

	// constant throughout a search
	chartType   = reflect.TypeFor[*chart.Chart]()
	configType  = reflect.TypeFor[group.Config]()
	recordsType = reflect.TypeFor[ledger.Config]()
)

func (w *world) key() uint64 {
	k := keyer{now: w.now, d: xxhash.New()}
	k.walk(reflect.ValueOf(w).Elem())
	return k.d.Sum64()
}

func (k keyer) num(n uint64) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], n)
	_, _ = k.d.Write(b[:])
}

// sub returns the hash of one value by itself.
func (k keyer) sub(vs ...reflect.Value) uint64 {
	one := keyer{now: k.now, d: xxhash.New()}
	for _, v := range vs {
		one.walk(v)
	}
	return one.d.Sum64()
}

func (k keyer) walk(v reflect.Value) {
	switch v.Type() {
	case timeType:
		k.moment(v)
		return
	case chartType, configType, recordsType:
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		k.pointer(v)
	case reflect.Struct:
		for i := range v.NumField() {
			k.walk(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		if v.Type() == bytesType {
			k.num(xxhash.Sum64(v.Bytes()))
			return
		}
		k.num(uint64(v.Len()))
		for i := range v.Len() {
			k.walk(v.Index(i))
		}
	case reflect.Map:
		k.unordered(v)
	case reflect.String:
		k.num(uint64(v.Len()))
		_, _ = k.d.WriteString(v.String())
	case reflect.Bool:
		k.num(map[bool]uint64{false: 1, true: 2}[v.Bool()])
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		k.num(uint64(v.Int()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		k.num(v.Uint())
	default:
		panic("key: " + v.Type().String())
	}
}

func (k keyer) pointer(v reflect.Value) {
	if v.IsNil() {
		k.num(0)
		return
	}
	if v.Type() == mapType { // immutable, and known by its place in this world's log
		k.num(uint64(v.Elem().FieldByName("version").Int()))
		return
	}
	k.walk(v.Elem())
}

// unordered hashes a map independently of its order.
func (k keyer) unordered(v reflect.Value) {
	var sum uint64
	for it := v.MapRange(); it.Next(); {
		sum += k.sub(it.Key(), it.Value())
	}
	k.num(uint64(v.Len()))
	k.num(sum)
}

// moment hashes a time without monotonic reading relative to now; the zero time stands for itself.
func (k keyer) moment(v reflect.Value) {
	wall, ext := v.Field(0).Uint(), v.Field(1).Int()
	if wall == 0 && ext == 0 {
		k.num(math.MaxUint64)
		return
	}
	base := reflect.ValueOf(k.now)
	k.num(uint64((ext-base.Field(1).Int())*int64(time.Second) + int64(wall) - int64(base.Field(0).Uint())))
}
