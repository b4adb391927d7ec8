package org.ragworthook.standin.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.ragworthook.core.contract.Service;
import org.ragworthook.core.contract.ServiceType;
import org.ragworthook.core.fleet.Address;
import org.ragworthook.core.fleet.Role;
import org.ragworthook.standin.StandInServer;

/**
 * Which processes the demonstration has and where each listens: one block of ports.
 */
public final class DemoPlan {

	private static final int ENTRIES = 3;

	private static final int BLOCK = 200;

	private static final int FIRST_PORT = 20_000;

	private static final int LAST_PORT = 32_000;

	private static final int WEIGHTS = 2;

	private static final int UPSTREAMS = 10;

	private static final int HTTP = 80;

	private static final int LINKS = 120;

	private final Deployment deployment;

	private final int base;

	private final String policy;

	private final int slots;

	private final List<PlannedProcess> processes = new ArrayList<>();

	private DemoPlan(Deployment deployment, int base, String policy, int slots) {
		this.deployment = deployment;
		this.base = base;
		this.policy = policy;
		this.slots = slots;
		for (int i = 0; i < ENTRIES; i++) {
			String failureDomain = deployment.failureDomains().get(i % deployment.failureDomains().size());
			add("entry-" + i, Role.ENTRY, failureDomain, "", Optional.empty());
		}
		int upstream = base + UPSTREAMS;
		for (Service service : deployment.contract().services()) {
			for (int i = 0; i < service.upstreams(); i++) {
				String failureDomain = service.failureDomains().get(i % service.failureDomains().size());
				add(service.name() + "-" + i, Role.SIDECAR, failureDomain, service.name(),
						Optional.of(address(upstream++)));
			}
		}
	}

	private void add(String name, Role role, String failureDomain, String service, Optional<Address> upstream) {
		int number = this.processes.size();
		this.processes.add(new PlannedProcess(name, role, this.deployment.region(), failureDomain,
				address(this.base + HTTP + number), address(this.base + LINKS + number), service, upstream));
	}

	/**
	 * Plans a deployment.
	 * @param deployment what is to run
	 * @param base the first port of its block
	 * @param policy how sidecars admit
	 * @param slots requests that an engine runs at once
	 * @return the plan
	 */
	public static DemoPlan of(Deployment deployment, int base, String policy, int slots) {
		return new DemoPlan(Objects.requireNonNull(deployment, "deployment is null"), base,
				Objects.requireNonNull(policy, "policy is null"), slots);
	}

	/**
	 * Finds a block of ports that nobody listens on.
	 * @return the first port of the block
	 * @throws IllegalStateException if there is none
	 */
	public static int freeBase() {
		int offset = (int) (ProcessHandle.current().pid() % 50) * BLOCK;
		for (int tried = 0; tried < LAST_PORT - FIRST_PORT; tried += BLOCK) {
			int base = FIRST_PORT + (offset + tried) % (LAST_PORT - FIRST_PORT);
			if (isFree(base)) {
				return base;
			}
		}
		throw new IllegalStateException("no " + BLOCK + " free ports in a row");
	}

	private static boolean isFree(int base) {
		for (int port = base; port < base + BLOCK; port++) {
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(StandInServer.HOST))) {
				socket.setReuseAddress(true);
			}
			catch (IOException ex) {
				return false;
			}
		}
		return true;
	}

	private static Address address(int port) {
		return new Address(StandInServer.HOST, port);
	}

	Deployment deployment() {
		return this.deployment;
	}

	int base() {
		return this.base;
	}

	String policy() {
		return this.policy;
	}

	int slots() {
		return this.slots;
	}

	Address objectApi() {
		return address(this.base);
	}

	Address instanceList() {
		return address(this.base + 1);
	}

	Address weightStore() {
		return address(this.base + WEIGHTS);
	}

	List<PlannedProcess> processes() {
		return List.copyOf(this.processes);
	}

	List<PlannedProcess> entries() {
		return this.processes.stream().filter((process) -> process.role() == Role.ENTRY).toList();
	}

	List<PlannedProcess> sidecars(ServiceType type) {
		String service = ((type == ServiceType.MODEL) ? this.deployment.modelService() : this.deployment.plainService())
			.name();
		return this.processes.stream().filter((process) -> process.service().equals(service)).toList();
	}

}
