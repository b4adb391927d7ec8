package org.ragworthook.daemon.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import io.netty.channel.EventLoopGroup;
import io.vertx.core.Vertx;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.InstanceList;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.log.EventLog;
import org.ragworthook.wire.link.LinkListener;
import org.ragworthook.wire.link.LinkOptions;
import org.ragworthook.wire.message.Hello;
import org.ragworthook.wire.message.Lane;

/**
 * Keeps links to the sidecars that the platform lists.
 */
public final class UpstreamDirectory implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(UpstreamDirectory.class);

	private static final long REFRESH_MILLIS = 1_000;

	private final Vertx vertx;

	private final InstanceList list;

	private final EventLoopGroup loops;

	private final LinkOptions options;

	private final Function<Lane, Hello> hello;

	private final LinkListener control;

	private final Map<Address, Sidecar> byAddress = new HashMap<>();

	private volatile List<Sidecar> snapshot = List.of();

	private long timer;

	private boolean closed;

	private UpstreamDirectory(Vertx vertx, InstanceList list, EventLoopGroup loops, LinkOptions options,
			Function<Lane, Hello> hello, LinkListener control) {
		this.vertx = Objects.requireNonNull(vertx, "vertx is null");
		this.list = Objects.requireNonNull(list, "list is null");
		this.loops = Objects.requireNonNull(loops, "loops is null");
		this.options = Objects.requireNonNull(options, "options is null");
		this.hello = Objects.requireNonNull(hello, "hello is null");
		this.control = Objects.requireNonNull(control, "control is null");
	}

	/**
	 * Starts to follow the list.
	 * @param vertx carries the timer
	 * @param list the platform's list
	 * @param loops the threads of the links
	 * @param options how links behave
	 * @param hello makes the greeting for each lane
	 * @param control takes what comes on the control lanes
	 * @return the directory, empty at first
	 */
	public static UpstreamDirectory follow(Vertx vertx, InstanceList list, EventLoopGroup loops, LinkOptions options,
			Function<Lane, Hello> hello, LinkListener control) {
		UpstreamDirectory directory = new UpstreamDirectory(vertx, list, loops, options, hello, control);
		directory.timer = vertx.setPeriodic(0, REFRESH_MILLIS, (ignored) -> directory.refresh());
		return directory;
	}

	/**
	 * Returns the sidecars known.
	 * @return an immutable snapshot
	 */
	public List<Sidecar> sidecars() {
		return this.snapshot;
	}

	/**
	 * While the list cannot be read the sidecars stay as they are: their links tell which
	 * of them are there.
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
		Map<Address, Instance> listed = new HashMap<>();
		instances.stream()
			.filter((instance) -> instance.role() == Role.SIDECAR)
			.forEach((instance) -> listed.put(instance.link(), instance));
		List.copyOf(this.byAddress.keySet())
			.stream()
			.filter((address) -> !listed.containsKey(address))
			.forEach((address) -> this.byAddress.remove(address).close());
		listed.forEach((address, instance) -> this.byAddress.computeIfAbsent(address,
				(ignored) -> Sidecar.connect(instance, this.loops, this.options, this.hello, this.control)));
		this.snapshot = List.copyOf(this.byAddress.values());
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		this.vertx.cancelTimer(this.timer);
		this.byAddress.values().forEach(Sidecar::close);
		this.byAddress.clear();
		this.snapshot = List.of();
	}

}
