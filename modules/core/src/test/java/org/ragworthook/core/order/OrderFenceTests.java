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

	private static Optional<ErrorCode> refusal(CompletableFuture<Void> admitted) {
		try {
			admitted.join();
			return Optional.empty();
		}
		catch (CompletionException ex) {
			return Optional.of(((OrderException) ex.getCause()).code());
		}
	}

	// A leader is paused, another takes over and gives its orders, then the first wakes
	// and
	// goes on. Its order must not undo what the new leader did.
	@Test
	void shouldRefuseThePausedLeaderOnceTheNewOneHasSpoken() {
		OrderFence fence = OrderFence.of(this.store, "reconciler");
		assertThat(refusal(fence.admit(0, 4))).isEmpty();
		takeOver();
		assertThat(refusal(fence.admit(0, 5))).isEmpty();
		assertThat(refusal(fence.admit(0, 4))).hasValue(ErrorCode.ORDER_FENCED);
		assertThat(fence.isCurrent(0, 4)).isFalse();
		assertThat(fence.isCurrent(0, 5)).isTrue();
	}

	// The sidecar is restarted between the two leaders' orders and remembers nothing. The
	// old leader's order comes first after the restart; only the lease tells that it is
	// old.
	@Test
	void shouldReadTheLeaseBackBeforeItsFirstOrder() {
		takeOver();
		OrderFence restarted = OrderFence.of(this.store, "reconciler");
		assertThat(refusal(restarted.admit(0, 4))).hasValue(ErrorCode.ORDER_FENCED);
		assertThat(refusal(restarted.admit(0, 5))).isEmpty();
	}

	// The platform is out while the sidecar restarts, so nobody can say which leader is
	// the
	// newest. An order now could be the old one's; it has to wait.
	@Test
	void shouldRefuseOrdersWhileTheLeaseCannotBeRead() {
		FaultyObjectStore faulty = FaultyObjectStore.over(this.store);
		faulty.plan(FaultyObjectStore.Fault.REFUSED);
		OrderFence restarted = OrderFence.of(faulty, "reconciler");
		assertThat(refusal(restarted.admit(0, 5))).hasValue(ErrorCode.ORDER_NO_FENCE);
		faulty.plan(FaultyObjectStore.Fault.NONE);
		assertThat(refusal(restarted.admit(0, 4))).isEmpty();
		assertThat(refusal(OrderFence.of(this.store, "nobody").admit(0, 1))).hasValue(ErrorCode.ORDER_NO_FENCE);
	}

}
