package org.ragworthook.daemon.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import org.ragworthook.core.close.Closer;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.error.LinkException;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.InstanceList;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.time.Timers;
import org.ragworthook.wire.link.Link;
import org.ragworthook.wire.link.LinkClient;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.link.LinkServer;
import org.ragworthook.wire.message.Frame;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Welcome;

/**
 * The links of an entry to the other entries. Each entry connects to all that the
 * platform lists; so a newcomer that is not listed yet reaches the others all the same.
 * Of two links to one peer either may carry a frame.
 */
public final class PeerLinks implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(PeerLinks.class);

	private static final Duration REFRESH = Duration.ofSeconds(1);

	private final Closer closer = Closer.empty();

	private final Map<Address, LinkClient> clients = new HashMap<>();

	private final Map<String, Set<Link>> open = new ConcurrentHashMap<>();

	private final List<LinkListener> listeners = new CopyOnWriteArrayList<>();

	private final LinkListener listening = new Listening();

	private final LinkCalls calls;

	private final EventLoopGroup loops;

	private final InstanceList list;

	private final Timers timers;

	private final Address own;

	private final LinkOptions options;

	private final Supplier<Hello> hello;

	private volatile boolean closed;

	private PeerLinks(EventLoopGroup loops, InstanceList list, Timers timers, Address own, LinkOptions options,
			Supplier<Hello> hello) {
		this.loops = Objects.requireNonNull(loops, "loops is null");
		this.list = Objects.requireNonNull(list, "list is null");
		this.timers = Objects.requireNonNull(timers, "timers is null");
		this.own = Objects.requireNonNull(own, "own is null");
		this.options = Objects.requireNonNull(options, "options is null");
		this.hello = Objects.requireNonNull(hello, "hello is null");
		this.calls = new LinkCalls(timers);
	}

	/**
	 * Prepares the links. Nothing is sent or taken before {@link #start}, so that every
	 * part has registered its verbs by then.
	 * @param loops the threads of the links
	 * @param list the platform's list
	 * @param timers delays refreshes and ends calls
	 * @param own where this entry takes links
	 * @param options how links behave
	 * @param hello makes the greeting for each link
	 * @return links that are not started
	 */
	public static PeerLinks of(EventLoopGroup loops, InstanceList list, Timers timers, Address own, LinkOptions options,
			Supplier<Hello> hello) {
		return new PeerLinks(loops, list, timers, own, options, hello);
	}

	/**
	 * Has a verb answered.
	 * @param verb the verb
	 * @param handler answers its calls
	 */
	public void handle(String verb, PeerCall handler) {
		this.calls.handle(verb, handler);
	}

	/**
	 * Has somebody told of links and of all frames but calls and their replies.
	 * @param listener takes what happens
	 */
	public void listen(LinkListener listener) {
		this.listeners.add(Objects.requireNonNull(listener, "listener is null"));
	}

	/**
	 * Starts to listen and to connect.
	 * @throws LinkException if the address cannot be bound
	 */
	public void start() {
		this.closer.add(
				LinkServer.listen(this.loops, this.own, this.options, () -> welcome(this.hello.get()), this.listening));
		refresh();
	}

	private static Welcome welcome(Hello own) {
		return Welcome.newBuilder()
			.setInstance(own.getInstance())
			.setRegion(own.getRegion())
			.setFailureDomain(own.getFailureDomain())
			.setContractVersion(own.getContractVersion())
			.build();
	}

	/**
	 * Returns the peers that can be reached now.
	 * @return their instances
	 */
	public Set<String> peers() {
		return this.open.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().stream().anyMatch(Link::open))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Calls a peer.
	 * @param instance the peer
	 * @param verb the verb
	 * @param body what to send
	 * @param timeout how long to wait for the answer
	 * @return the answer; fails with the peer's own code, or with {@code LINK_FAILED} if
	 * there was none and it is not known whether the call was carried out
	 */
	public CompletableFuture<ByteString> call(String instance, String verb, ByteString body, Duration timeout) {
		return this.open.getOrDefault(instance, Set.of())
			.stream()
			.filter(Link::open)
			.findFirst()
			.map((link) -> this.calls.call(link, verb, body, timeout))
			.orElseGet(() -> CompletableFuture
				.failedFuture(new LinkException(ErrorCode.LINK_FAILED, "peer " + instance + " is not connected")));
	}

	/**
	 * Sends a frame to every peer that can be reached.
	 * @param frame the frame
	 */
	public void broadcast(Frame frame) {
		this.open.values()
			.forEach((links) -> links.stream().filter(Link::open).findFirst().ifPresent((link) -> link.send(frame)));
	}

	// -- following the list

	private void refresh() {
		if (this.closed) {
			return;
		}
		this.list.instances().whenComplete((instances, failure) -> {
			if (failure == null) {
				update(instances);
			}
			else {
				LOG.debug("instance_list_unreadable", "error", failure);
			}
			this.timers.schedule(REFRESH, this::refresh);
		});
	}

	private synchronized void update(List<Instance> instances) {
		if (this.closed) {
			return;
		}
		Set<Address> listed = instances.stream()
			.filter((instance) -> instance.role() == Role.ENTRY && !instance.link().equals(this.own))
			.map(Instance::link)
			.collect(Collectors.toSet());
		List.copyOf(this.clients.keySet())
			.stream()
			.filter((address) -> !listed.contains(address))
			.forEach((address) -> this.clients.remove(address).close());
		listed.forEach((address) -> this.clients.computeIfAbsent(address,
				(added) -> LinkClient.connect(this.loops, added, this.options, this.hello, this.listening)));
	}

	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
			this.clients.values().forEach(LinkClient::close);
			this.clients.clear();
		}
		this.closer.close();
	}

	/**
	 * Sorts what happens on the links.
	 */
	private final class Listening implements LinkListener {

		@Override
		public void opened(Link link) {
			PeerLinks.this.open.compute(link.remote().instance(), (instance, links) -> {
				Set<Link> present = (links != null) ? links : ConcurrentHashMap.newKeySet();
				present.add(link);
				return present;
			});
			PeerLinks.this.listeners.forEach((listener) -> listener.opened(link));
		}

		@Override
		public void received(Link link, Frame frame) {
			switch (frame.getBodyCase()) {
				case CALL -> PeerLinks.this.calls.called(link, frame.getCall());
				case REPLY -> PeerLinks.this.calls.replied(link, frame.getReply());
				default -> PeerLinks.this.listeners.forEach((listener) -> listener.received(link, frame));
			}
		}

		@Override
		public void closed(Link link) {
			PeerLinks.this.open.computeIfPresent(link.remote().instance(), (instance, links) -> {
				links.remove(link);
				return links.isEmpty() ? null : links;
			});
			PeerLinks.this.calls.closed(link);
			PeerLinks.this.listeners.forEach((listener) -> listener.closed(link));
		}

	}

}
