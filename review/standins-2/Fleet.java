import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The machines of the system: their settings and processes, started with the commands of
 * the deploy file. A process that ends is started again after a second, as the platform
 * does.
 */
final class Fleet {

	static final String STORE_HOST = "127.0.0.2";

	static final String HOST = "nony24.example";

	private static final String[] ZONES = { "z-a", "z-b", "z-c" };

	final Record record;

	final Store store = new Store(STORE_HOST);

	private final Path folder;

	private final Path logs;

	private final int base;

	private final Map<String, Machine> machines = new LinkedHashMap<>();

	/** Whether streams may go on at another runner. */
	boolean resumable = true;

	private volatile boolean closing;

	final class Machine {

		final String name;

		final String role;

		final String ip;

		final int storePort;

		private final String zone;

		private volatile Process process;

		private volatile boolean killed;

		volatile int ownEnds;

		Machine(String name, String role, String ip, int storePort, String zone) {
			this.name = name;
			this.role = role;
			this.ip = ip;
			this.storePort = storePort;
			this.zone = zone;
		}

		/** Kills the process; it is started again a second later. */
		void kill() {
			this.killed = true;
			Fleet.this.record.line("%s SIGKILL", this.name);
			this.process.destroyForcibly();
		}

		/** Stops the process with SIGTERM; it is started again a second after its end. */
		void stop() {
			this.killed = true;
			Fleet.this.record.line("%s SIGTERM", this.name);
			this.process.destroy();
		}

		long pid() {
			return this.process.pid();
		}

		boolean alive() {
			return this.process.isAlive();
		}

	}

	Fleet(Record record) throws IOException {
		this.record = record;
		this.folder = Files.createTempDirectory("review");
		this.logs = this.folder;
		this.base = freePorts();
		record.line("ports from %d, files in a temporary folder", this.base);
		// Also when this process is ended by a signal.
		Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
	}

	private static int freePorts() throws IOException {
		for (int tries = 0; tries < 50; tries++) {
			int base = ThreadLocalRandom.current().nextInt(20_000, 31_000);
			boolean free = true;
			for (int port = base; port < base + 80 && free; port++) {
				for (String host : List.of("127.0.0.1", STORE_HOST, "127.0.0.11", "127.0.0.21")) {
					try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(host))) {
						free &= probe.isBound();
					}
					catch (IOException ex) {
						free = false;
					}
				}
			}
			if (free) {
				return base;
			}
		}
		throw new IOException("no free ports");
	}

	/** Adds an edge or a storage machine; a new one every call, zone by zone. */
	Machine add(String role, int number) throws IOException {
		String ip = role.equals("entry") ? "127.0.0." + (11 + number) : "127.0.0." + (21 + number);
		int storePort = this.base + 30 + this.machines.size();
		String zone = ZONES[number % ZONES.length];
		String machineClass = role.equals("entry") ? "edge" : "storage";
		Machine machine = new Machine(machineClass + "-" + zone + "-" + number, role, ip, storePort, zone);
		this.store.listen(storePort);
		this.machines.put(machine.name, machine);
		return machine;
	}

	int front() {
		return this.base + 20;
	}

	int runnerPort(int number) {
		return this.base + 50 + number;
	}

	void start(Machine machine) throws IOException {
		Path settings = this.folder.resolve(machine.name + ".toml");
		Files.writeString(settings, settings(machine));
		List<String> command = command(machine.role);
		ProcessBuilder builder = new ProcessBuilder(command);
		Map<String, String> environment = builder.environment();
		Map<String, String> kept = new LinkedHashMap<>();
		for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
			if (environment.containsKey(name)) {
				kept.put(name, environment.get(name));
			}
		}
		environment.clear();
		environment.putAll(kept);
		environment.put("RAGWORTHOOK_SETTINGS", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(
				ProcessBuilder.Redirect.appendTo(this.logs.resolve(machine.name + ".log").toFile()));
		machine.killed = false;
		machine.process = builder.start();
		this.record.line("%s started pid=%d", machine.name, machine.process.pid());
		machine.process.onExit().thenAccept((ended) -> ended(machine, ended));
	}

	private void ended(Machine machine, Process ended) {
		if (this.closing) {
			return;
		}
		if (!machine.killed) {
			machine.ownEnds++;
			this.record.line("%s ENDED BY ITSELF exit=%d, %s", machine.name, ended.exitValue(), lastError(machine));
		}
		try {
			TimeUnit.SECONDS.sleep(1);
			if (!this.closing) {
				start(machine);
			}
		}
		catch (IOException | InterruptedException ex) {
			this.record.line("%s not started again: %s", machine.name, ex);
		}
	}

	private String lastError(Machine machine) {
		try {
			List<String> lines = Files.readAllLines(this.logs.resolve(machine.name + ".log"));
			return lines.stream()
				.filter((line) -> line.contains("OutOfMemory") || line.contains("terminating"))
				.reduce((first, second) -> second)
				.orElse(lines.isEmpty() ? "no log" : lines.get(lines.size() - 1));
		}
		catch (IOException ex) {
			return "no log";
		}
	}

	/** Returns the command of the deploy file for a role. */
	private static List<String> command(String role) throws IOException {
		boolean inRole = false;
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("[")) {
				inRole = line.trim().equals("[roles." + role + "]");
			}
			else if (inRole && line.startsWith("run = ")) {
				String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
				return new ArrayList<>(Arrays.asList(run.split(" ")));
			}
		}
		throw new IOException("the deploy file has no role " + role);
	}

	private String settings(Machine machine) {
		boolean entry = machine.role.equals("entry");
		StringBuilder text = new StringBuilder();
		text.append("nodeName = \"" + machine.name + "\"\nrole = \"" + machine.role + "\"\n");
		text.append("machineClass = \"" + (entry ? "edge" : "storage") + "\"\n");
		text.append("serves = [\"" + (entry ? "edge" : "storage") + "\"]\n");
		text.append("ip = \"" + machine.ip + "\"\nzone = \"" + machine.zone + "\"\nregion = \"z\"\n");
		text.append("internalPorts = [" + this.base + "," + (this.base + 15) + "]\nseeds = []\n");
		text.append("bootstrap = true\ncountsInTolerance = " + !entry + "\ndiscovery = \"platform\"\n");
		text.append("entry = \"vip\"\nheartbeatMs = 1200\n");
		text.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\","
				+ "\"engine\",\"platform\"]\n");
		text.append("[zones]\nz-a = \"z\"\nz-b = \"z\"\nz-c = \"z\"\n[listen]\n");
		if (entry) {
			text.append("front = \"" + machine.ip + ":" + front() + "\"\n");
			text.append("readiness = \"" + machine.ip + ":" + (front() + 1) + "\"\n");
		}
		text.append("[limits]\ncpuShare = " + (entry ? "0.57" : "1.5") + "\ncores = 1\nmemoryMb = "
				+ (entry ? 430 : 490) + "\n");
		text.append("fileDescriptors = 4200\nlinkMbps = 1000.0\ndiskMb = " + (entry ? 0 : 640) + "\n");
		text.append("[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n");
		text.append("[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 5.3\n");
		text.append("drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n");
		text.append("maxStretchMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nfinishS = 18\n");
		text.append("statusS = 120\ncancelMs = 3000\nsettleMs = 1000\nquotaOverage = 0.1\n");
		text.append("[platform]\naddress = \"" + STORE_HOST + ":" + machine.storePort + "\"\nform = \"objects\"\n");
		text.append("writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n");
		return text.toString();
	}

	/** Writes a configuration with a streaming route per service and one for batch jobs. */
	void configure(int version, String streamService, String batchService) {
		configure(version, streamService, batchService, 5_000);
	}

	void configure(int version, String streamService, String batchService, int timeoutMillis) {
		ObjectNode spec = Store.JSON.createObjectNode();
		spec.put("version", version);
		ArrayNode routes = spec.putArray("routes");
		ObjectNode stream = routes.addObject();
		stream.put("name", "r-stream").put("host", HOST).put("pathPrefix", "/lohu930/").put("kind", "streaming");
		stream.put("timeoutMs", timeoutMillis).put("targetLatencyMs", 300).put("priority", 0).put("service", streamService);
		stream.put("maxAttempts", this.resumable ? 2 : 1).put("sessionAffinity", true).put("resumable", this.resumable).put("gapTargetMs", 250);
		ObjectNode batch = routes.addObject();
		batch.put("name", "r-batch").put("host", HOST).put("pathPrefix", "/pule252/").put("kind", "batch");
		batch.put("timeoutMs", 15000).put("targetLatencyMs", 400).put("priority", 2).put("service", batchService);
		batch.put("maxAttempts", 3).put("sessionAffinity", true).put("resumable", true).put("gapTargetMs", 250);
		batch.put("completionTargetMs", 18000).put("retentionS", 60.0);
		ArrayNode services = spec.putArray("services");
		for (String name : (streamService.equals(batchService)) ? List.of(streamService)
				: List.of(streamService, batchService)) {
			ObjectNode service = services.addObject();
			service.put("name", name).put("healthPath", "/healthz").put("maxConnections", 200).put("protocol", "h1");
			service.put("tls", false).putObject("engine").put("slots", 8).put("kvCapacity", 147261);
		}
		ObjectNode limits = spec.putObject("limits");
		limits.put("maxHeaderBytes", 16384).put("maxBodyBytes", 4194304).put("headerTimeoutMs", 3000);
		limits.put("idleTimeoutMs", 15000);
		this.store.put("config", "main", spec);
		this.record.line("operator: configuration %d acknowledged, stream=%s batch=%s", version, streamService,
				batchService);
	}

	/** Waits until an entry is ready. */
	void awaitReady(Machine entry) throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (System.nanoTime() < end) {
			try {
				if (Calls.get("http://" + entry.ip + ":" + (front() + 1) + "/readyz", 1_000).status() == 200) {
					this.record.line("%s ready", entry.name);
					return;
				}
			}
			catch (IOException ex) {
				// Not up yet.
			}
			Thread.sleep(100);
		}
		throw new IOException(entry.name + " does not become ready");
	}

	/** Copies the log of a machine, for a look after the run. */
	Path log(Machine machine) {
		return this.logs.resolve(machine.name + ".log");
	}

	private void endProcesses() {
		this.closing = true;
		for (Machine machine : this.machines.values()) {
			if (machine.process != null) {
				machine.process.destroyForcibly();
			}
		}
	}

	void close() {
		endProcesses();
		for (Machine machine : this.machines.values()) {
			try {
				if (machine.process != null) {
					machine.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		this.store.close();
		if (System.getenv("KEEP_LOGS") == null) {
			try (var files = Files.list(this.folder)) {
				for (Path file : files.toList()) {
					Files.delete(file);
				}
				Files.delete(this.folder);
			}
			catch (IOException ex) {
				this.record.line("temporary folder not removed: %s", ex);
			}
		}
		else {
			System.out.println("logs in " + this.folder);
		}
	}

}
