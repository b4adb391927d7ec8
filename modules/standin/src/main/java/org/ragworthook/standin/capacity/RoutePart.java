package org.ragworthook.standin.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.core.membership.Membership;
import org.ragworthook.core.routing.Choice;
import org.ragworthook.core.routing.RouteRequest;
import org.ragworthook.core.routing.RouteTable;
import org.ragworthook.core.routing.Router;
import org.ragworthook.core.routing.SubsetSelector;
import org.ragworthook.core.routing.Upstream;
import org.ragworthook.core.time.Ticker;

/**
 * What an entry knows of the sidecars of a region, and what a choice among them costs.
 */
final class RoutePart implements Part {

	private static final int CHOICES = 20_000;

	private static final int DOMAINS = 4;

	private static final int ENTRIES = 40;

	private static final double MICROS_PER_MILLI = 1_000;

	private static final long PREFIXES = 500;

	private static final int SLOTS = 16;

	private static final String MODEL = "model";

	@Override
	public String name() {
		return "routing";
	}

	@Override
	public String counted() {
		return "sidecars";
	}

	@Override
	public List<Integer> sizes() {
		return List.of(110, 690, 1_375, 2_750);
	}

	@Override
	public List<Quantity> measure(int size) {
		List<Instance> sidecars = instances(Role.SIDECAR, size);
		List<Instance> entries = instances(Role.ENTRY, ENTRIES);
		double membership = Gauge.heapKb(() -> listed(instances(Role.SIDECAR, size)));
		double table = Gauge.heapKb(() -> table(sidecars));
		double subset = Gauge.cpuMillis(() -> SubsetSelector.defaults().of(entries.get(0), entries, sidecars));
		int links = SubsetSelector.defaults().of(entries.get(0), entries, sidecars).size();
		Router router = Router.of(Ticker.system(), () -> new Random(1), 1.25);
		router.update(table(sidecars));
		double choices = Gauge.cpuMillis(() -> choose(router));
		return List.of(new Quantity("heap of the list, KB", membership),
				new Quantity("heap of a table of all, KB", table),
				new Quantity("processor time of a new subset, ms", subset), new Quantity("links of one entry", links),
				new Quantity("processor time of a choice among all, us", choices * MICROS_PER_MILLI / CHOICES));
	}

	private static Membership listed(List<Instance> instances) {
		Membership membership = Membership.empty();
		membership.instancesListed(instances);
		return membership;
	}

	private static RouteTable table(List<Instance> sidecars) {
		return RouteTable.of(FailureDomain.of("r", "d0"), sidecars.stream().map(RoutePart::upstream).toList());
	}

	private static Upstream upstream(Instance sidecar) {
		Upstream upstream = Upstream.of(sidecar);
		upstream.loadReported(0, SLOTS);
		upstream.modelsReported(Set.of(MODEL));
		return upstream;
	}

	private static void choose(Router router) {
		for (int i = 0; i < CHOICES; i++) {
			RouteRequest request = RouteRequest.of(MODEL, OptionalLong.of(i % PREFIXES));
			router.choose(request).orElseThrow().release(Choice.Outcome.SUCCESS);
		}
	}

	private static List<Instance> instances(Role role, int count) {
		return new ArrayList<>(IntStream.range(0, count).mapToObj((number) -> instance(role, number)).toList());
	}

	private static Instance instance(Role role, int number) {
		String service = (role == Role.SIDECAR) ? "desk" : "";
		FailureDomain domain = FailureDomain.of("r", "d" + number % DOMAINS);
		Address link = new Address("10.0." + number / 250 + "." + number % 250, 7000);
		return new Instance(role + "-" + number, role, service, domain, link, false);
	}

}
