package org.ragworthook.daemon.entry;

import java.util.Objects;

import org.ragworthook.core.quarantine.CrashRecord;
import org.ragworthook.core.quarantine.Quarantine;
import org.ragworthook.daemon.peer.PeerLinks;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.Frame;

/**
 * Shares crash records, which count the upstreams that a request has crashed, among all
 * entries. A caller whose request was refused here may send it again, and the load
 * balancer may route it to another entry; without the record it would crash two more
 * upstreams there.
 */
final class CrashRecordSharing implements LinkListener {

	private final Quarantine quarantine;

	private final PeerLinks peers;

	private CrashRecordSharing(Quarantine quarantine, PeerLinks peers) {
		this.quarantine = Objects.requireNonNull(quarantine, "quarantine is null");
		this.peers = Objects.requireNonNull(peers, "peers is null");
	}

	/**
	 * Starts to broadcast the crash records of this entry and to merge those of others.
	 * @param online the online part of this entry
	 * @param peers the links to the other entries
	 */
	static void start(OnlinePart online, PeerLinks peers) {
		CrashRecordSharing sharing = new CrashRecordSharing(online.quarantine(), peers);
		peers.listen(sharing);
		online.onCrashRecord((crashRecord) -> peers.broadcast(frame(crashRecord)));
	}

	/**
	 * Sends the crash records of all quarantined requests to the peer, which may have
	 * just started or may have missed some while the link was down.
	 */
	@Override
	public void opened(Link link) {
		this.quarantine.quarantined().forEach((crashRecord) -> link.send(frame(crashRecord)));
	}

	@Override
	public void received(Link link, Frame frame) {
		if (frame.hasConviction() && this.quarantine.merge(crashRecord(frame.getConviction()))) {
			// Forwarded when new, for peers that have no link to the sender.
			this.peers.broadcast(frame);
		}
	}

	@Override
	public void closed(Link link) {
		// Merged records stay valid without the link.
	}

	private static Frame frame(CrashRecord crashRecord) {
		return Frame.newBuilder()
			.setConviction(org.ragworthook.wire.message.Conviction.newBuilder()
				.setFingerprint(crashRecord.fingerprint())
				.setCrashes(crashRecord.crashes())
				.setUntilMillis(crashRecord.expiryMillis()))
			.build();
	}

	private static CrashRecord crashRecord(org.ragworthook.wire.message.Conviction message) {
		return new CrashRecord(message.getFingerprint(), message.getCrashes(), message.getUntilMillis());
	}

}
