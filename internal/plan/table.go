package plan

import "slices"

const shardCount = 256

// table is an immutable ordered set. It is split into shards so that a change
// copies only the shards it modifies. The zero value is empty.
type table[K any, T any] struct {
	shards [shardCount][]T // each sorted by key
}

// keyFuncs maps the keys of a table to shards and compares items with keys.
type keyFuncs[K any, T any] struct {
	shard   func(K) uint8
	compare func(T, K) int
}

func (k *keyFuncs[K, T]) get(t *table[K, T], key K) (T, bool) {
	shard := t.shards[k.shard(key)]
	i, found := slices.BinarySearchFunc(shard, key, k.compare)
	if !found {
		var zero T
		return zero, false
	}
	return shard[i], true
}

// tableBuilder builds a modified copy of a table. The base table is not
// modified.
type tableBuilder[K any, T any] struct {
	keys   *keyFuncs[K, T]
	table  table[K, T]
	copied [shardCount]bool
}

func newTableBuilder[K any, T any](keys *keyFuncs[K, T], base *table[K, T]) *tableBuilder[K, T] {
	return &tableBuilder[K, T]{keys: keys, table: *base}
}

func (b *tableBuilder[K, T]) get(key K) (T, bool) { return b.keys.get(&b.table, key) }

func (b *tableBuilder[K, T]) put(key K, item T) {
	shard := b.writableShard(key)
	i, found := slices.BinarySearchFunc(*shard, key, b.keys.compare)
	if found {
		(*shard)[i] = item
		return
	}
	*shard = slices.Insert(*shard, i, item)
}

func (b *tableBuilder[K, T]) remove(key K) {
	shard := b.writableShard(key)
	i, found := slices.BinarySearchFunc(*shard, key, b.keys.compare)
	if found {
		*shard = slices.Delete(*shard, i, i+1)
	}
}

// writableShard returns the key's shard, which it copies from the base before
// the first modification.
func (b *tableBuilder[K, T]) writableShard(key K) *[]T {
	n := b.keys.shard(key)
	if !b.copied[n] {
		b.table.shards[n] = slices.Clone(b.table.shards[n])
		b.copied[n] = true
	}
	return &b.table.shards[n]
}
