package org.ragworthook.daemon.batch;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;

import org.ragworthook.daemon.entry.Sidecar;
import org.ragworthook.wire.message.Load;

/**
 * How many further items a sidecar would hold: its last report less what was sent since.
 * The report lags and other entries send, too; a sidecar that is offered too much refuses
 * the rest, which is sent again.
 */
final class SidecarRoom {

	private final Sidecar sidecar;

	private final AtomicInteger sent = new AtomicInteger();

	private volatile Load seen = Load.getDefaultInstance();

	SidecarRoom(Sidecar sidecar) {
		this.sidecar = Objects.requireNonNull(sidecar, "sidecar is null");
	}

	int free() {
		Load load = this.sidecar.load();
		if (load != this.seen) {
			this.seen = load;
			this.sent.set(0);
		}
		return Math.max(0, load.getBatchRoom() - this.sent.get());
	}

	void sent() {
		this.sent.incrementAndGet();
	}

}
