package org.ragworthook.core.routing;

import java.util.ArrayList;
import java.util.List;

import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.FailureDomain;
import org.ragworthook.core.fleet.Instance;
import org.ragworthook.core.fleet.Role;

/**
 * Creates instances and upstreams for tests.
 */
final class Fleet {

	private Fleet() {
	}

	static FailureDomain domain(int number) {
		return FailureDomain.of("region", "domain-" + number);
	}

	static Instance instance(Role role, String id, int domain) {
		return new Instance(id, role, (role == Role.SIDECAR) ? "desk" : "", domain(domain),
				new Address("127.0.0.1", 7_000), false);
	}

	static List<Instance> instances(Role role, int count, int domains) {
		List<Instance> instances = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			instances.add(instance(role, role + "-" + i, i % domains));
		}
		return instances;
	}

	static List<Upstream> upstreams(int count, int domains) {
		return instances(Role.SIDECAR, count, domains).stream().map(Upstream::of).toList();
	}

}
