package org.ragworthook.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.ragworthook.core.contract.ActiveContract;
import org.ragworthook.core.contract.Contract;
import org.ragworthook.core.contract.Slice;
import org.ragworthook.core.contract.SliceEncoder;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.message.ContractSlice;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.ProcessVersion;

/**
 * The control lanes of an entry to its sidecars: sends each what it needs of a new
 * contract and hears by which version each acts.
 */
public final class ControlLane implements LinkListener {

	private final ActiveContract inForce;

	private final Map<Link, Session> sessions = new ConcurrentHashMap<>();

	private final List<LinkListener> others = new CopyOnWriteArrayList<>();

	ControlLane(ActiveContract inForce) {
		this.inForce = Objects.requireNonNull(inForce, "inForce is null");
		inForce.addListener((contract) -> this.sessions.values().forEach(this::push));
	}

	/**
	 * Has somebody told of the links and of all frames that are not about the contract.
	 * @param listener takes what happens
	 */
	public void listen(LinkListener listener) {
		this.others.add(Objects.requireNonNull(listener, "listener is null"));
	}

	List<ProcessVersion> processes() {
		return this.sessions.values().stream().map(Session::process).toList();
	}

	List<Link> links() {
		return List.copyOf(this.sessions.keySet());
	}

	@Override
	public void opened(Link link) {
		Session session = new Session(link);
		this.sessions.put(link, session);
		push(session);
		this.others.forEach((other) -> other.opened(link));
	}

	@Override
	public void received(Link link, Frame frame) {
		if (frame.hasInForce()) {
			Session session = this.sessions.get(link);
			if (session != null) {
				session.report(frame.getInForce().getVersion());
			}
			return;
		}
		this.others.forEach((other) -> other.received(link, frame));
	}

	@Override
	public void closed(Link link) {
		this.sessions.remove(link);
		this.others.forEach((other) -> other.closed(link));
	}

	// A slice without a section refers to the one sent before it. Worked out on two
	// threads,
	// two slices could be sent in the wrong order and the sidecar would take an old
	// section
	// for the new version; so each link's slices are worked out and sent on its own
	// thread.
	private void push(Session session) {
		session.link.executor().execute(() -> this.inForce.contract().ifPresent(session::send));
	}

	private static final class Session {

		private final Link link;

		private final SliceEncoder sender;

		private volatile long version;

		private Session(Link link) {
			this.link = link;
			this.sender = SliceEncoder.of(link.remote().service());
			this.version = link.remote().contractVersion();
		}

		private void send(Contract contract) {
			this.sender.next(contract).ifPresent((slice) -> this.link.send(frame(slice)));
		}

		private static Frame frame(Slice slice) {
			ContractSlice.Builder message = ContractSlice.newBuilder()
				.setVersion(slice.version())
				.setUnchanged(slice.section().isEmpty());
			slice.section().ifPresent((section) -> message.setService(slice.service()).setJson(section));
			return Frame.newBuilder().setContractSlice(message).build();
		}

		private void report(long reported) {
			this.version = Math.max(this.version, reported);
		}

		private ProcessVersion process() {
			return ProcessVersion.newBuilder()
				.setInstance(this.link.remote().instance())
				.setRole("sidecar")
				.setFailureDomain(this.link.remote().failureDomain().name())
				.setVersion(this.version)
				.build();
		}

	}

}
