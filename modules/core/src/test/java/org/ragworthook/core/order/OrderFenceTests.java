package org.ragworthook.core.order;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.OrderException;
import org.ragworthook.core.lease.Lease;
import org.ragworthook.core.store.Draft;
import org.ragworthook.core.store.FaultyObjectStore;
import org.ragworthook.core.store.MemoryObjectStore;
import org.ragworthook.core.store.ObjectStore;
import org.ragworthook.core.store.Stored;

import static com.google.common.truth.Truth.assertThat;

class OrderFenceTests {

	private final ObjectStore store = MemoryObjectStore.empty();

	private Stored lease;

	@BeforeEach
	void firstLeader() {
		this.lease = this.store.create(Lease.key("reconciler-0"), draft(4, "entry-1")).join();
	}

	private static Draft draft(long epoch, String holder) {
		return Draft.of(new Lease("reconciler-0", epoch, holder, Duration.ofSeconds(6)).text(), holder + epoch);
	}

	private void takeOver() {
		this.lease = this.store.update(this.lease.key(), draft(5, "entry-2"), this.lease.version()).join();
	}

	private static Optional<ErrorCode> rejection(CompletableFuture<Void> admitted) {
		try {
			admitted.join();
			return Optional.empty();
		}
		catch (CompletionException ex) {
			return Optional.of(((OrderException) ex.getCause()).code());
		}
	}

	// A leader is paused, another takes over and sends orders, then the first resumes.
	// Its orders must not undo those of the new leader.
	@Test
	void shouldRejectDeposedLeaderAfterOrderOfNewLeader() {
		OrderFence fence = OrderFence.of(this.store, "reconciler");
		assertThat(rejection(fence.admit(0, 4))).isEmpty();
		takeOver();
		assertThat(rejection(fence.admit(0, 5))).isEmpty();
		assertThat(rejection(fence.admit(0, 4))).hasValue(ErrorCode.ORDER_FENCED);
		assertThat(fence.isCurrent(0, 4)).isFalse();
		assertThat(fence.isCurrent(0, 5)).isTrue();
	}

	// The sidecar restarts between the orders of two leaders and has lost its state.
	// The old leader's order arrives first; only the lease shows that it is outdated.
	@Test
	void shouldReadLeaseBeforeFirstOrder() {
		takeOver();
		OrderFence restarted = OrderFence.of(this.store, "reconciler");
		assertThat(rejection(restarted.admit(0, 4))).hasValue(ErrorCode.ORDER_FENCED);
		assertThat(rejection(restarted.admit(0, 5))).isEmpty();
	}

	// The platform is unavailable while the sidecar restarts, so the latest leader is
	// unknown. An order could come from a deposed leader and must be rejected.
	@Test
	void shouldRejectOrdersWhileLeaseCannotBeRead() {
		FaultyObjectStore faulty = FaultyObjectStore.over(this.store);
		faulty.plan(FaultyObjectStore.Fault.REFUSED);
		OrderFence restarted = OrderFence.of(faulty, "reconciler");
		assertThat(rejection(restarted.admit(0, 5))).hasValue(ErrorCode.ORDER_NO_FENCE);
		faulty.plan(FaultyObjectStore.Fault.NONE);
		assertThat(rejection(restarted.admit(0, 4))).isEmpty();
		assertThat(rejection(OrderFence.of(this.store, "nobody").admit(0, 1))).hasValue(ErrorCode.ORDER_NO_FENCE);
	}

}
