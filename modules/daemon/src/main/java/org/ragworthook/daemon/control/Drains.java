package org.ragworthook.daemon.control;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.message.Call;
import org.ragworthook.wire.message.Frame;

/**
 * Has an instance drained that an operator names: a sidecar with a link to this entry, or
 * one whose link another entry has, or another entry.
 */
final class Drains {

	private static final String VERB = "drain";

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final ControlLane lane;

	private final PeerLinks peers;

	private final String own;

	private final Runnable drainThis;

	Drains(ControlLane lane, PeerLinks peers, String own, Runnable drainThis) {
		this.lane = Objects.requireNonNull(lane, "lane is null");
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.own = Objects.requireNonNull(own, "own is null");
		this.drainThis = Objects.requireNonNull(drainThis, "drainThis is null");
		peers.handle(VERB,
				(instance, body) -> here(body.toStringUtf8())
					.<CompletableFuture<ByteString>>map((done) -> CompletableFuture.completedFuture(ByteString.EMPTY))
					.orElseGet(() -> CompletableFuture.failedFuture(unknown(body.toStringUtf8()))));
	}

	CompletableFuture<Void> drain(String instance) {
		if (here(instance).isPresent()) {
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> drained = new CompletableFuture<>();
		CompletableFuture<?>[] asked = this.peers.peers()
			.stream()
			.map((peer) -> this.peers.call(peer, VERB, ByteString.copyFromUtf8(instance), TIMEOUT)
				.handle((answer, failure) -> (failure == null) && drained.complete(null)))
			.toArray(CompletableFuture[]::new);
		CompletableFuture.allOf(asked).thenRun(() -> drained.completeExceptionally(unknown(instance)));
		return drained;
	}

	private Optional<String> here(String instance) {
		if (this.own.equals(instance)) {
			this.drainThis.run();
			return Optional.of(instance);
		}
		return this.lane.links()
			.stream()
			.filter((link) -> link.remote().instance().equals(instance))
			.findFirst()
			.filter(Drains::ask)
			.map((link) -> instance);
	}

	private static boolean ask(Link link) {
		return link.send(Frame.newBuilder().setCall(Call.newBuilder().setVerb(VERB)).build());
	}

	private static LinkException unknown(String instance) {
		return new LinkException(ErrorCode.INSTANCE_UNKNOWN, "no process knows instance '" + instance + "'");
	}

}
