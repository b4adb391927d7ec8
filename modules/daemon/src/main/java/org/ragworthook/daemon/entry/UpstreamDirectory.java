package org.ragworthook.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.Vertx;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.InstanceList;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.core.membership.Members;
import org.ragworthook.core.membership.Membership;
import org.ragworthook.core.reconcile.UpstreamUsage;
import org.ragworthook.core.routing.RouteTable;
import org.ragworthook.core.routing.Router;
import org.ragworthook.core.routing.SubsetSelector;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.core.time.Ticker;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.link.Remote;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;

/**
 * The sidecars that this entry is linked to, and for each service a router over the
 * upstreams that accept online requests. Both are kept up to date from the platform's
 * instance list and from the state of the links.
 */
public final class UpstreamDirectory implements AutoCloseable, Sidecar.Observer {

	private static final EventLog LOG = EventLog.of(UpstreamDirectory.class);

	private final Vertx vertx;

	private final Instance self;

	private final InstanceList list;

	private final EventLoopGroup loops;

	private final LinkOptions options;

	private final Function<Lane, Hello> hello;

	private final LinkListener control;

	private final Membership membership = Membership.empty();

	private final SubsetSelector subset = SubsetSelector.defaults();

	private final Map<Address, Sidecar> byAddress = new HashMap<>();

	private final Map<String, Router> routers = new ConcurrentHashMap<>();

	private volatile Map<Upstream, Sidecar> byUpstream = Map.of();

	private volatile List<Instance> entries = List.of();

	private long timer;

	private boolean closed;

	private UpstreamDirectory(Vertx vertx, Instance self, InstanceList list, EventLoopGroup loops, LinkOptions options,
			Function<Lane, Hello> hello, LinkListener control) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.self = Objects.requireNonNull(self, "self is null");
		this.list = Objects.requireNonNull(list, "list is null");
		this.loops = Objects.requireNonNull(loops, "loops is null");
		this.options = Objects.requireNonNull(options, "options is null");
		this.hello = Objects.requireNonNull(hello, "hello is null");
		this.control = Objects.requireNonNull(control, "control is null");
	}

	/**
	 * Starts to follow the platform's instance list.
	 * @param vertx the Vert.x instance, for the timer
	 * @param self this entry
	 * @param list the platform's instance list
	 * @param refresh the interval between reads of the list
	 * @param loops the event loops of the links
	 * @param options the options of the links
	 * @param hello returns the first message to send on the link of a lane
	 * @param control receives the frames and state changes of the control lanes
	 * @return the directory, initially empty
	 */
	public static UpstreamDirectory follow(Vertx vertx, Instance self, InstanceList list, Duration refresh,
			EventLoopGroup loops, LinkOptions options, Function<Lane, Hello> hello, LinkListener control) {
		UpstreamDirectory directory = new UpstreamDirectory(vertx, self, list, loops, options, hello, control);
		directory.timer = vertx.setPeriodic(0, refresh.toMillis(), (ignored) -> directory.refresh());
		return directory;
	}

	/**
	 * Returns the sidecars that this entry has links to.
	 * @return an immutable snapshot
	 */
	public List<Sidecar> sidecars() {
		return List.copyOf(this.byUpstream.values());
	}

	/**
	 * Returns the online load and the concurrency limit of each upstream, as last
	 * reported.
	 * @return the usage by the instance name that the sidecar sent
	 */
	public Map<String, UpstreamUsage> usage() {
		Map<String, UpstreamUsage> usage = new HashMap<>();
		sidecars()
			.forEach((sidecar) -> sidecar.remote()
				.ifPresent((remote) -> usage.put(remote.instance(),
						new UpstreamUsage(sidecar.load().getOnlineRunning() + sidecar.load().getOnlineQueued(),
								sidecar.load().getLimit()))));
		return usage;
	}

	/**
	 * Returns the sidecar in front of an upstream.
	 * @param upstream an upstream that a router of this directory chose
	 * @return the sidecar, or empty if it has been removed since
	 */
	public Optional<Sidecar> sidecar(Upstream upstream) {
		return Optional.ofNullable(this.byUpstream.get(upstream));
	}

	/**
	 * Returns the router of a service.
	 * @param service the name of the service
	 * @return the router, without upstreams if the service has none
	 */
	public Router router(String service) {
		return this.routers.computeIfAbsent(service, (name) -> Router.of(Ticker.system()));
	}

	/**
	 * Returns the number of entries in the platform's list.
	 * @return the number of entries, at least one
	 */
	public int entries() {
		return Math.max(1, this.entries.size());
	}

	/**
	 * Returns the link addresses of the entries that the platform's list does not show as
	 * leaving.
	 * @return the addresses
	 */
	public Set<String> entryAddresses() {
		return this.entries.stream()
			.filter((entry) -> !entry.leaving())
			.map((entry) -> entry.link().toString())
			.collect(Collectors.toUnmodifiableSet());
	}

	// -- the platform's list

	/**
	 * Reads the list and applies it. While the list cannot be read, the sidecars are
	 * kept: the state of their links shows which of them are reachable.
	 */
	private void refresh() {
		this.list.instances().whenComplete((instances, failure) -> {
			if (failure != null) {
				LOG.debug("instance_list_unreadable", "error", failure);
			}
			else {
				update(instances);
			}
		});
	}

	private synchronized void update(List<Instance> instances) {
		if (this.closed) {
			return;
		}
		this.entries = instances.stream().filter((instance) -> instance.role() == Role.ENTRY).toList();
		Members members = this.membership
			.instancesListed(instances.stream().filter((instance) -> instance.role() == Role.SIDECAR).toList());
		Map<Address, Instance> wanted = selectSubset(members.linkTargets());
		List.copyOf(this.byAddress.keySet())
			.stream()
			.filter((address) -> !wanted.containsKey(address))
			.forEach((address) -> this.byAddress.remove(address).close());
		wanted.forEach((address, instance) -> this.byAddress.computeIfAbsent(address,
				(ignored) -> Sidecar.connect(instance, this.loops, this.options, this.hello, this.control, this)));
		this.byUpstream = this.byAddress.values()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Sidecar::upstream, Function.identity()));
		publish(this.membership.members());
	}

	private Map<Address, Instance> selectSubset(List<Instance> sidecars) {
		Instance listedSelf = this.entries.stream()
			.filter((entry) -> entry.link().equals(this.self.link()))
			.findFirst()
			.orElse(this.self);
		Map<Address, Instance> chosen = new HashMap<>();
		Map<String, List<Instance>> byService = sidecars.stream().collect(Collectors.groupingBy(Instance::service));
		for (List<Instance> serviceSidecars : byService.values()) {
			Set<Instance> linked = this.subset.of(listedSelf, this.entries, serviceSidecars);
			linked.forEach((instance) -> chosen.put(instance.link(), instance));
		}
		return chosen;
	}

	// -- the links

	@Override
	public synchronized void linkOpened(Sidecar sidecar, Remote remote) {
		publish(this.membership.linkOpened(sidecar.instance(), remote.instance(), remote.leaving()));
	}

	@Override
	public synchronized void drainAnnounced(Sidecar sidecar, Remote remote) {
		publish(this.membership.drainAnnounced(sidecar.instance().link(), remote.instance()));
	}

	@Override
	public synchronized void linkLost(Sidecar sidecar) {
		publish(this.membership.linkLost(sidecar.instance().link()));
	}

	private void publish(Members members) {
		Map<String, List<Upstream>> byService = new HashMap<>();
		this.routers.keySet().forEach((service) -> byService.put(service, new ArrayList<>()));
		for (Instance instance : members.routable()) {
			Sidecar sidecar = this.byAddress.get(instance.link());
			if (sidecar != null) {
				byService.computeIfAbsent(sidecar.service(), (ignored) -> new ArrayList<>()).add(sidecar.upstream());
			}
		}
		byService.forEach(
				(service, upstreams) -> router(service).update(RouteTable.of(this.self.failureDomain(), upstreams)));
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		this.vertx.cancelTimer(this.timer);
		this.byAddress.values().forEach(Sidecar::close);
		this.byAddress.clear();
		this.byUpstream = Map.of();
	}

}
