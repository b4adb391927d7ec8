package org.ragworthook.daemon.entry;

import java.util.Objects;

import org.ragworthook.core.quarantine.CrashRecord;
import org.ragworthook.core.quarantine.Quarantine;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Frame;

/**
 * Tells the other entries of requests that crash upstreams. A caller whose request was
 * refused here sends it again, and the balancer takes it to another entry; without the
 * word of this one it would crash two more upstreams there.
 */
final class ConvictionSharing implements LinkListener {

	private final Quarantine quarantine;

	private final PeerLinks peers;

	private ConvictionSharing(Quarantine quarantine, PeerLinks peers) {
		this.quarantine = Objects.requireNonNull(quarantine, "quarantine is null");
		this.peers = Objects.requireNonNull(peers, "peers is null");
	}

	/**
	 * Starts to share what an entry finds out and to take in what others have.
	 * @param online the entry's online requests
	 * @param peers the links to the other entries
	 */
	static void start(OnlinePart online, PeerLinks peers) {
		ConvictionSharing sharing = new ConvictionSharing(online.quarantine(), peers);
		peers.listen(sharing);
		online.onConviction((conviction) -> peers.broadcast(frame(conviction)));
	}

	/**
	 * Tells a peer everything: it may have just started, or the link may have been lost
	 * while something was found out.
	 */
	@Override
	public void opened(Link link) {
		this.quarantine.quarantined().forEach((conviction) -> link.send(frame(conviction)));
	}

	@Override
	public void received(Link link, Frame frame) {
		if (frame.hasConviction() && this.quarantine.merge(conviction(frame.getConviction()))) {
			// Passed on once, for peers that the finder has no link to.
			this.peers.broadcast(frame);
		}
	}

	@Override
	public void closed(Link link) {
		// What is known stays known.
	}

	private static Frame frame(CrashRecord conviction) {
		return Frame.newBuilder()
			.setConviction(org.ragworthook.wire.message.Conviction.newBuilder()
				.setFingerprint(conviction.fingerprint())
				.setCrashes(conviction.crashes())
				.setUntilMillis(conviction.expiryMillis()))
			.build();
	}

	private static CrashRecord conviction(org.ragworthook.wire.message.Conviction message) {
		return new CrashRecord(message.getFingerprint(), message.getCrashes(), message.getUntilMillis());
	}

}
