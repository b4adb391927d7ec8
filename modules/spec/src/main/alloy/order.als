/**
 * Orders to one upstream and their fencing number.
 *
 * The fencing number of an order is the epoch of the reconciler's lease. A sidecar passes
 * an order on only if no newer number was seen; the engine behind it may check the number
 * or not, so the model gives it no check of its own. A reconciler may be paused and wake
 * up deposed, with orders on their way. A sidecar may be restarted and forgets what it
 * knew; before its first order it reads the lease back from the store. While the store is
 * out it refuses orders.
 */
module order

open util/ordering[Epoch] as epochs

-- The mechanisms under test. The commands below switch off one at a time.
enum Mechanism { FenceCheck, LeaseReadBack }

sig Disabled in Mechanism {}

sig Epoch {}

sig Order { number: one Epoch }

-- Orders that were sent; each may reach the sidecar at any time, also twice.
var sig Sent in Order {}

-- Orders that the sidecar has passed on to the engine.
var sig Passed in Order {}

one sig Lease { var epoch: one Epoch }

-- Present while the object API does not answer.
var lone sig Outage {}

one sig Sidecar {
	-- the highest number that it knows of, none after a restart
	var fence: lone Epoch,
	-- the highest number ever passed on to the engine, for the properties only
	var passedOn: lone Epoch
}

fact Initially {
	no Sent
	no Passed
	epoch = Lease -> epochs/first
	no Outage
	no fence
	no passedOn
}

pred sidecarUnchanged {
	fence' = fence
	passedOn' = passedOn
	Passed' = Passed
}

-- Another reconciler takes the lease over, which needs the store.
pred takeOver {
	no Outage
	some epochs/next[Lease.epoch]
	epoch' = Lease -> epochs/next[Lease.epoch]
	Sent' = Sent
	Outage' = Outage
	sidecarUnchanged
}

-- A reconciler that holds or held the lease sends an order, at any time.
pred send[o: Order] {
	o not in Sent
	epochs/lte[o.number, Lease.epoch]
	Sent' = Sent + o
	epoch' = epoch
	Outage' = Outage
	sidecarUnchanged
}

-- The sidecar reads the lease back, which needs the store.
pred readLease {
	no Sidecar.fence
	no Outage
	fence' = Sidecar -> Lease.epoch
	passedOn' = passedOn
	Passed' = Passed
	Sent' = Sent
	epoch' = epoch
	Outage' = Outage
}

pred mayPass[o: Order] {
	some Sidecar.fence or LeaseReadBack in Disabled
	FenceCheck in Disabled or no Sidecar.fence or epochs/gte[o.number, Sidecar.fence]
}

-- The sidecar passes an order on.
pred pass[o: Order] {
	o in Sent
	mayPass[o]
	Passed' = Passed + o
	fence' = Sidecar -> epochs/max[o.number + Sidecar.fence]
	passedOn' = Sidecar -> epochs/max[o.number + Sidecar.passedOn]
	Sent' = Sent
	epoch' = epoch
	Outage' = Outage
}

-- The sidecar refuses an order.
pred refuse[o: Order] {
	o in Sent
	not mayPass[o]
	Sent' = Sent
	epoch' = epoch
	Outage' = Outage
	sidecarUnchanged
}

pred restart {
	no fence'
	passedOn' = passedOn
	Passed' = Passed
	Sent' = Sent
	epoch' = epoch
	Outage' = Outage
}

-- The store goes away or comes back.
pred turn {
	some Outage iff no Outage'
	Sent' = Sent
	epoch' = epoch
	sidecarUnchanged
}

pred stutter {
	Sent' = Sent
	epoch' = epoch
	Outage' = Outage
	sidecarUnchanged
}

fact Transitions {
	always (takeOver or readLease or restart or turn or stutter
		or (some o: Order | send[o] or pass[o] or refuse[o]))
}

-- Properties

-- The engine never gets an order that is older than one it got before.
pred neverOlder {
	always all o: Order | pass[o] implies (no Sidecar.passedOn or epochs/gte[o.number, Sidecar.passedOn])
}

-- With the lease read back after a take-over, no order of a deposed reconciler passes.
pred noneOfTheDeposed {
	always (readLease implies always all o: Order | pass[o] implies epochs/gte[o.number, Sidecar.fence])
}

check NeverOlder { no Disabled implies neverOlder }
	for exactly 4 Epoch, exactly 4 Order, 1 Outage, 14 .. 14 steps expect 0

check NoneOfTheDeposed { no Disabled implies noneOfTheDeposed }
	for exactly 3 Epoch, exactly 3 Order, 1 Outage, 12 .. 12 steps expect 0

-- Mutants: each lacks one mechanism and must break a property.

check MutantNoFenceCheck { Disabled = FenceCheck implies neverOlder }
	for exactly 2 Epoch, exactly 2 Order, 1 Outage, 10 .. 10 steps expect 1

check MutantNumberForgottenOnRestart { Disabled = LeaseReadBack implies neverOlder }
	for exactly 2 Epoch, exactly 2 Order, 1 Outage, 10 .. 10 steps expect 1

-- Non-vacuity: the traces that the properties are about exist.

-- After a restart the sidecar refuses an order during an outage, then reads the lease
-- back, refuses a deposed reconciler's order and passes the new one's on.
run RestartedSidecarRefusesTheOldOrder {
	no Disabled
	some disj old, new: Order {
		epochs/lt[old.number, new.number]
		eventually (restart and some Passed and after eventually (some Outage and refuse[new]
			and after eventually (readLease and after eventually (refuse[old] and eventually pass[new]))))
	}
} for exactly 2 Epoch, exactly 3 Order, 1 Outage, 14 .. 14 steps expect 1
