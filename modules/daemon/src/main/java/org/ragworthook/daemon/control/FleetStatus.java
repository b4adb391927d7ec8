package org.ragworthook.daemon.control;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.wire.message.PeerState;
import org.ragworthook.wire.message.ProcessVersion;

/**
 * Which process acts by which version. Asked for by an operator, an entry asks its peers
 * in turn; nothing is sent for it while nobody asks.
 */
public final class FleetStatus {

	private static final String VERB = "status";

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final PeerLinks peers;

	private final Supplier<List<ProcessVersion>> own;

	FleetStatus(PeerLinks peers, Supplier<List<ProcessVersion>> own) {
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.own = Objects.requireNonNull(own, "own is null");
		peers.handle(VERB, (instance, body) -> CompletableFuture
			.completedFuture(PeerState.newBuilder().addAllProcesses(own.get()).build().toByteString()));
	}

	/**
	 * Asks all peers.
	 * @return the processes by name, each with the highest version that anybody knows of;
	 * a peer that does not answer in a second is listed with version 0
	 */
	CompletableFuture<Collection<ProcessVersion>> processes() {
		List<CompletableFuture<List<ProcessVersion>>> answers = this.peers.peers().stream().map(this::ask).toList();
		return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).thenApply((done) -> {
			Map<String, ProcessVersion> merged = new TreeMap<>();
			this.own.get().forEach((process) -> merge(merged, process));
			answers.forEach((answer) -> answer.join().forEach((process) -> merge(merged, process)));
			return merged.values();
		});
	}

	private static void merge(Map<String, ProcessVersion> merged, ProcessVersion process) {
		merged.merge(process.getInstance(), process,
				(left, right) -> (left.getVersion() >= right.getVersion()) ? left : right);
	}

	private CompletableFuture<List<ProcessVersion>> ask(String peer) {
		return this.peers.call(peer, VERB, ByteString.EMPTY, TIMEOUT)
			.thenApply(FleetStatus::parse)
			.exceptionally((failure) -> List.of(silent(peer)));
	}

	private static List<ProcessVersion> parse(ByteString body) {
		try {
			return PeerState.parseFrom(body).getProcessesList();
		}
		catch (InvalidProtocolBufferException ex) {
			throw new LinkException(ErrorCode.LINK_FAILED, "a peer's status cannot be read", ex);
		}
	}

	private static ProcessVersion silent(String peer) {
		return ProcessVersion.newBuilder().setInstance(peer).setRole("entry").build();
	}

}
