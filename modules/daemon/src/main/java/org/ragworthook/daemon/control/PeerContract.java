package org.ragworthook.daemon.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.Revision;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.error.RagworthookException;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.ContractText;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.PeerState;

/**
 * Takes the contract from peers. While the platform is out, a restarted entry would serve
 * nobody although every other entry knows the text; and an entry whose watch is stuck
 * would act by an old one. So entries tell each other their version, sparsely, and
 * whoever hears of a newer one asks for the text.
 */
final class PeerContract implements LinkListener {

	private static final EventLog LOG = EventLog.of(PeerContract.class);

	private static final String VERB = "contract";

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final Duration PERIOD = Duration.ofSeconds(5);

	private final PeerLinks peers;

	private final ActiveContract inForce;

	private final Timers timers;

	private final Executor work;

	private final Supplier<PeerState> state;

	private volatile boolean closed;

	PeerContract(PeerLinks peers, ActiveContract inForce, Timers timers, Executor work, Supplier<PeerState> state) {
		this.peers = Objects.requireNonNull(peers, "peers is null");
		this.inForce = Objects.requireNonNull(inForce, "inForce is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.work = Objects.requireNonNull(work, "work is null");
		this.state = Objects.requireNonNull(state, "state is null");
		peers.handle(VERB, (instance, body) -> CompletableFuture.supplyAsync(this::text, work));
		peers.listen(this);
	}

	void start() {
		if (!this.closed) {
			this.peers.broadcast(Frame.newBuilder().setPeerState(this.state.get()).build());
			this.timers.schedule(PERIOD, this::start);
		}
	}

	void close() {
		this.closed = true;
	}

	@Override
	public void opened(Link link) {
		heard(link, link.remote().contractVersion());
	}

	@Override
	public void received(Link link, Frame frame) {
		if (frame.hasPeerState()) {
			heard(link, frame.getPeerState().getContractVersion());
		}
	}

	@Override
	public void closed(Link link) {
		// The next peer that is heard of may know as much.
	}

	private void heard(Link link, long version) {
		if (version <= this.inForce.version()) {
			return;
		}
		String peer = link.remote().instance();
		this.peers.call(peer, VERB, ByteString.EMPTY, TIMEOUT)
			.thenAcceptAsync((body) -> take(peer, body), this.work)
			.whenComplete((done, failure) -> {
				if (failure != null) {
					LOG.warning("peer_contract_failed", "peer", peer, "version", version, "error", failure);
				}
			});
	}

	private void take(String peer, ByteString body) {
		if (this.inForce.offer(revision(body))) {
			LOG.info("contract_from_peer", "peer", peer, "version", this.inForce.version());
		}
	}

	private ByteString text() {
		Revision revision = this.inForce.revision()
			.orElseThrow(() -> new LinkException(ErrorCode.CONFIG_ABSENT, "no text is in force here"));
		return ContractText.newBuilder()
			.setVersion(revision.version())
			.setText(revision.text())
			.setAuthor(revision.author())
			.setReason(revision.reason())
			.setAcceptedMillis(revision.acceptedAt().toEpochMilli())
			.build()
			.toByteString();
	}

	private static Revision revision(ByteString body) throws RagworthookException {
		try {
			ContractText message = ContractText.parseFrom(body);
			return new Revision(message.getVersion(), message.getAuthor(), message.getReason(),
					Instant.ofEpochMilli(message.getAcceptedMillis()), message.getText());
		}
		catch (InvalidProtocolBufferException ex) {
			throw new LinkException(ErrorCode.LINK_FAILED, "a peer's text cannot be read", ex);
		}
	}

}
