package plan

import "slices"

const shardCount = 256

// table is an immutable ordered set, split into shards so that a change copies
// only the shards it touches. The zero value is empty.
type table[K any, T any] struct {
	shards [shardCount][]T // each in order of the key
}

// tableKind says how items of a table are placed and compared.
type tableKind[K any, T any] struct {
	shard   func(K) uint8
	compare func(T, K) int
}

func (k *tableKind[K, T]) get(t *table[K, T], key K) (T, bool) {
	shard := t.shards[k.shard(key)]
	i, found := slices.BinarySearchFunc(shard, key, k.compare)
	if !found {
		var none T
		return none, false
	}
	return shard[i], true
}

// tableEdit builds a table from another one. The base is not modified.
type tableEdit[K any, T any] struct {
	kind   *tableKind[K, T]
	table  table[K, T]
	copied [shardCount]bool
}

func newTableEdit[K any, T any](kind *tableKind[K, T], base *table[K, T]) *tableEdit[K, T] {
	return &tableEdit[K, T]{kind: kind, table: *base}
}

func (e *tableEdit[K, T]) get(key K) (T, bool) { return e.kind.get(&e.table, key) }

func (e *tableEdit[K, T]) put(key K, item T) {
	shard := e.own(key)
	i, found := slices.BinarySearchFunc(*shard, key, e.kind.compare)
	if found {
		(*shard)[i] = item
		return
	}
	*shard = slices.Insert(*shard, i, item)
}

func (e *tableEdit[K, T]) remove(key K) {
	shard := e.own(key)
	i, found := slices.BinarySearchFunc(*shard, key, e.kind.compare)
	if found {
		*shard = slices.Delete(*shard, i, i+1)
	}
}

func (e *tableEdit[K, T]) own(key K) *[]T {
	n := e.kind.shard(key)
	if !e.copied[n] {
		e.table.shards[n] = slices.Clone(e.table.shards[n])
		e.copied[n] = true
	}
	return &e.table.shards[n]
}
