/**
 * The log of claims on idempotency keys of one shard.
 *
 * Before a non-idempotent online request is run, the owner of its key's shard appends a
 * claim on the key to the shard's log by a conditional create of the next position. A new
 * owner reads the log to its end and closes it with a barrier of its own, so that an
 * append of an older owner meets a conflict. Only then may it say that a key was never
 * claimed. Owners may be paused and wake up deposed; answers of the store may be lost.
 */
module claim

open util/ordering[Epoch] as epochs
open util/ordering[Position] as positions

-- The mechanisms under test. The commands below switch off one at a time.
enum Mechanism { Barrier, ConditionalCreate, ClaimFirst, EpochCheck }

sig Disabled in Mechanism {}

sig Epoch {}

-- An idempotency key. A request that is sent again bears the same key.
sig Key {}

sig Position {}

-- What an owner appends: claims on some keys, or none of them as a barrier.
sig Append {
	epoch: one Epoch,
	position: one Position,
	keys: set Key
}

var sig Sent in Append {}

-- The log at the store.
one sig Log { var entries: Position -> lone Append }

one sig Lease { var current: one Epoch }

sig Owner {
	-- the epoch by which it believes to own the shard
	var lease: lone Epoch,
	-- the next position, by what it knows
	var end: lone Position,
	-- claimed keys, by what it knows
	var claimed: set Key,
	-- keys that it has claimed itself and not run yet
	var ready: set Key,
	-- its append that was not answered yet
	var pending: lone Append
}

-- An owner whose barrier stands in the log.
var sig Closed in Owner {}

-- How often each key's request was run, at most twice.
one sig Upstreams { var ranOnce, ranTwice: set Key }

-- Keys of which a caller was told that they were not run.
var sig DeniedKey in Key {}

fact Initially {
	no Sent
	no entries
	no Closed
	no ranOnce
	no ranTwice
	no DeniedKey
	current = Lease -> epochs/first
	no claimed
	no ready
	no pending
	no lease
	no end
}

pred ownersUnchangedBut[o: Owner] {
	all other: Owner - o {
		other.lease' = other.lease
		other.end' = other.end
		other.claimed' = other.claimed
		other.ready' = other.ready
		other.pending' = other.pending
		other in Closed' iff other in Closed
	}
}

pred outsideUnchanged {
	ranOnce' = ranOnce
	ranTwice' = ranTwice
	DeniedKey' = DeniedKey
}

pred storeUnchanged {
	entries' = entries
	current' = current
	Sent' = Sent
}

fun free: Position { positions/min[Position - Log.entries.Append] }

-- An owner takes the shard over and reads its log to the end.
pred take[o: Owner] {
	some epochs/next[Lease.current]
	some free
	current' = Lease -> epochs/next[Lease.current]
	entries' = entries
	Sent' = Sent
	o.lease' = epochs/next[Lease.current]
	o.end' = free
	o.claimed' = Position.(Log.entries).keys
	no o.ready'
	no o.pending'
	Barrier in Disabled implies o in Closed' else o not in Closed'
	ownersUnchangedBut[o]
	outsideUnchanged
}

-- An owner sends its barrier, or claims on keys that are not claimed yet.
pred send[o: Owner, a: Append] {
	some o.lease
	some o.end
	no o.pending
	a not in Sent
	a.epoch = o.lease
	a.position = o.end
	o in Closed implies (some a.keys and no a.keys & o.claimed) else no a.keys
	Sent' = Sent + a
	entries' = entries
	current' = current
	o.pending' = a
	o.lease' = o.lease
	o.end' = o.end
	o.claimed' = o.claimed
	o.ready' = o.ready
	o in Closed' iff o in Closed
	ownersUnchangedBut[o]
	outsideUnchanged
}

-- An append reaches the store, perhaps long after it was sent.
pred arrive[a: Append] {
	a in Sent
	(no a.position.(Log.entries) or ConditionalCreate in Disabled)
		implies entries' = entries - Log -> a.position -> Append + Log -> a.position -> a
		else entries' = entries
	Sent' = Sent
	current' = current
	ownersUnchangedBut[none]
	outsideUnchanged
}

-- The owner learns what stands at the position, by the answer or by reading back. Its own
-- stamp there tells that the append was made; another's tells that it was deposed.
pred learn[o: Owner] {
	some o.pending
	some o.pending.position.(Log.entries)
	no o.pending'
	o.pending.position.(Log.entries) = o.pending implies {
		o.lease' = o.lease
		o.end' = positions/next[o.end]
		o.claimed' = o.claimed + o.pending.keys
		o.ready' = o.ready + o.pending.keys
		o in Closed'
	} else (EpochCheck in Disabled) implies {
		-- the mutant goes on behind the other's entry
		o.lease' = o.lease
		o.end' = positions/next[o.end]
		o.claimed' = o.claimed + o.pending.position.(Log.entries).keys
		o.ready' = o.ready
		o in Closed' iff o in Closed
	} else {
		no o.lease'
		no o.end'
		no o.claimed'
		o.ready' = o.ready
		o not in Closed'
	}
	ownersUnchangedBut[o]
	storeUnchanged
	outsideUnchanged
}

-- An owner has a claimed request run.
pred dispatch[o: Owner, k: Key] {
	k in o.ready or (ClaimFirst in Disabled and o in Closed and k not in o.claimed)
	o.ready' = o.ready - k
	o.claimed' = o.claimed + k
	o.lease' = o.lease
	o.end' = o.end
	o.pending' = o.pending
	o in Closed' iff o in Closed
	ownersUnchangedBut[o]
	ranOnce' = ranOnce + Upstreams -> k
	k in Upstreams.ranOnce implies ranTwice' = ranTwice + Upstreams -> k else ranTwice' = ranTwice
	DeniedKey' = DeniedKey
	storeUnchanged
}

-- An owner tells a caller that asks again that its first request was not run. From then on
-- the key is given up: a later request of the caller bears another one.
pred deny[o: Owner, k: Key] {
	o in Closed
	no o.pending
	k not in o.claimed
	o.claimed' = o.claimed + k
	o.lease' = o.lease
	o.end' = o.end
	o.ready' = o.ready
	o.pending' = o.pending
	o in Closed' iff o in Closed
	ownersUnchangedBut[o]
	DeniedKey' = DeniedKey + k
	ranOnce' = ranOnce
	ranTwice' = ranTwice
	storeUnchanged
}

pred stutter {
	ownersUnchangedBut[none]
	storeUnchanged
	outsideUnchanged
}

fact Transitions {
	always (
		stutter
		or (some o: Owner | take[o] or learn[o])
		or (some o: Owner, a: Append | send[o, a])
		or (some a: Append | arrive[a])
		or (some o: Owner, k: Key | dispatch[o, k] or deny[o, k])
	)
}

-- Properties

pred runsOnce {
	always no Upstreams.ranTwice
}

-- A key of which the owner in charge has said that it was not run is not run by an owner
-- that was deposed before.
pred denialIsTrue {
	always all o: Owner, k: Key | deny[o, k] implies {
		k not in Upstreams.ranOnce
		always all old: Owner - o | dispatch[old, k] implies epochs/gt[old.lease, o.lease]
	}
}

check RunsOnce { no Disabled implies runsOnce }
	for exactly 2 Owner, exactly 3 Epoch, exactly 1 Key, exactly 4 Position, exactly 4 Append, 12 .. 12 steps expect 0

check DenialIsTrue { no Disabled implies denialIsTrue }
	for exactly 2 Owner, exactly 3 Epoch, exactly 1 Key, exactly 4 Position, exactly 4 Append, 12 .. 12 steps expect 0

check RunsOnceWithTwoKeys { no Disabled implies runsOnce }
	for exactly 2 Owner, exactly 3 Epoch, exactly 2 Key, exactly 4 Position, exactly 4 Append, 10 .. 10 steps expect 0

-- Mutants: each lacks one mechanism and must break a property.

check MutantNoBarrier { Disabled = Barrier implies denialIsTrue }
	for exactly 2 Owner, exactly 3 Epoch, exactly 1 Key, exactly 4 Position, exactly 4 Append, 10 .. 10 steps expect 1

check MutantUnconditionalAppend { Disabled = ConditionalCreate implies denialIsTrue }
	for exactly 2 Owner, exactly 3 Epoch, exactly 1 Key, exactly 4 Position, exactly 4 Append, 14 .. 14 steps expect 1

check MutantClaimAfterDispatch { Disabled = ClaimFirst implies runsOnce }
	for exactly 2 Owner, exactly 3 Epoch, exactly 1 Key, exactly 4 Position, exactly 4 Append, 12 .. 12 steps expect 1

check MutantNoEpochCheck { Disabled = EpochCheck implies denialIsTrue }
	for exactly 2 Owner, exactly 3 Epoch, exactly 1 Key, exactly 4 Position, exactly 4 Append, 14 .. 14 steps expect 1

-- Non-vacuity: the traces that the properties are about exist.

-- The claim of a paused owner arrives behind the barrier, and the request, sent again, is
-- run by the new owner.
run LateClaimMeetsTheBarrier {
	no Disabled
	some disj old, new: Owner, late: Append {
		eventually (old.pending = late and some late.keys and arrive[late]
			and some late.position.(Log.entries) and new in Closed)
		eventually (some k: Key | dispatch[new, k])
	}
} for exactly 2 Owner, exactly 3 Epoch, exactly 1 Key, exactly 4 Position, exactly 4 Append, 14 .. 14 steps expect 1
