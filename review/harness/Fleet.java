import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A small deployment on loopback addresses: the stand-ins of the store and of the runners, and the project's own
 * programs, started with the commands of the deploy file. Starts a process again half a second after it has ended by
 * itself, as the platform does.
 */
final class Fleet implements AutoCloseable {

	static final String HOST = "desk.example";

	static final String SERVICE = "measure-lm";

	private static final String[] ZONES = { "atl-a", "atl-b", "atl-c" };

	private static final long RESTART_MILLIS = 500;

	final Record record;

	final Store store;

	final List<Runner> runners = new CopyOnWriteArrayList<>();

	final List<Node> entries = new ArrayList<>();

	final List<Node> batches = new ArrayList<>();

	/** Three heartbeat intervals, after which the entry of a silent runner is removed. */
	private static final long ENTRY_MILLIS = 3_600;

	private RunnerFactory newRunner;

	private int nextId = 0x7f3a91;

	private final Path folder;

	private final Map<String, String> commands = new LinkedHashMap<>();

	private volatile boolean closed;

	Fleet(Record record) throws IOException {
		this.record = record;
		this.folder = Files.createTempDirectory("review-case");
		this.store = new Store(record);
		Matcher role = Pattern.compile("(?m)^\\[roles\\.(\\w+)\\]|^run = \"([^\"]*)\"")
			.matcher(Files.readString(Path.of("deploy/system.toml")));
		String name = "";
		while (role.find()) {
			if (role.group(1) != null) {
				name = role.group(1);
			}
			else {
				this.commands.put(name, role.group(2));
			}
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/** Writes the configuration: one streaming route that may be resumed, one that may not, and one for batch jobs. */
	void configure(int version) {
		ObjectNode config = Store.JSON.createObjectNode().put("version", version);
		ArrayNode routes = config.putArray("routes");
		routes.addObject()
			.put("name", "r-resumable")
			.put("host", HOST)
			.put("pathPrefix", "/long/")
			.put("kind", "streaming")
			.put("timeoutMs", 5000)
			.put("targetLatencyMs", 300)
			.put("priority", 0)
			.put("service", SERVICE)
			.put("maxAttempts", 2)
			.put("sessionAffinity", true)
			.put("resumable", true)
			.put("gapTargetMs", 250);
		routes.addObject()
			.put("name", "r-once")
			.put("host", HOST)
			.put("pathPrefix", "/note/")
			.put("kind", "streaming")
			.put("timeoutMs", 5000)
			.put("targetLatencyMs", 300)
			.put("priority", 0)
			.put("service", SERVICE)
			.put("maxAttempts", 1)
			.put("sessionAffinity", true)
			.put("resumable", false)
			.put("gapTargetMs", 250);
		routes.addObject()
			.put("name", "r-batch")
			.put("host", HOST)
			.put("pathPrefix", "/sheets/")
			.put("kind", "batch")
			.put("timeoutMs", 15000)
			.put("targetLatencyMs", 400)
			.put("completionTargetMs", 18000)
			.put("priority", 2)
			.put("service", SERVICE)
			.put("maxAttempts", 3)
			.put("retentionS", 60)
			.put("maxCount", 0);
		ObjectNode service = config.putArray("services").addObject();
		service.put("name", SERVICE)
			.put("healthPath", "/healthz")
			.put("maxConnections", 200)
			.put("protocol", "h1")
			.put("tls", false)
			.putObject("engine")
			.put("slots", 8)
			.put("kvCapacity", 147_261)
			.putArray("models")
			.addObject()
			.put("name", "m");
		config.putObject("limits")
			.put("maxHeaderBytes", 16_384)
			.put("maxBodyBytes", 4_194_304)
			.put("headerTimeoutMs", 3_000)
			.put("idleTimeoutMs", 15_000);
		this.store.put("config", "main", config);
	}

	void runners(int count, int slots, int events, long eventMillis, Runner.Text text) throws IOException {
		this.newRunner = (zone) -> new Runner("127.0.0.1", "i-" + Integer.toHexString(this.nextId++), SERVICE, zone, slots,
				events, eventMillis, text, this.record);
		for (int n = 0; n < count; n++) {
			addRunner(ZONES[n % 3]);
		}
	}

	private Runner addRunner(String zone) throws IOException {
		Runner runner = this.newRunner.create(zone);
		this.runners.add(runner);
		this.store.put("servers", runner.id, runner.entry("ready"));
		return runner;
	}

	/**
	 * Lets runners follow a plan, and be back as new incarnations some time after a request has crashed them.
	 */
	void crashing(Runner.Plan plan, long backMillis) {
		this.runners.forEach((runner) -> crashing(runner, plan, backMillis));
	}

	private void crashing(Runner runner, Runner.Plan plan, long backMillis) {
		runner.plan = plan;
		runner.onCrash = () -> {
			this.record.line("runner %s has crashed", runner.id);
			Thread back = new Thread(() -> {
				Store.pause(Math.min(backMillis, ENTRY_MILLIS));
				this.store.take("servers", runner.id);
				try {
					crashing(addRunner(runner.zone()), plan, backMillis);
				}
				catch (IOException ex) {
					this.record.say("a runner could not be started again: %s", ex);
				}
			});
			back.setDaemon(true);
			back.start();
		};
	}

	/** Creates a runner. */
	private interface RunnerFactory {

		Runner create(String zone) throws IOException;

	}

	/** Starts the processes and waits until all entries are ready. */
	void start(int entryCount, int batchCount) throws Exception {
		for (int n = 0; n < entryCount; n++) {
			this.entries.add(new Node("edge-" + ZONES[n % 3] + "-" + (n / 3 + 1), "entry", ZONES[n % 3], true));
		}
		for (int n = 0; n < batchCount; n++) {
			this.batches.add(new Node("storage-" + ZONES[n % 3] + "-" + (n / 3 + 1), "batch", ZONES[n % 3], false));
		}
		for (Node node : nodes()) {
			node.start();
		}
		long end = System.currentTimeMillis() + 20_000;
		for (Node entry : this.entries) {
			while (Client.status("127.0.0.1", entry.readiness, "GET", "/readyz", Map.of(), new byte[0], 1_000) != 200) {
				if (System.currentTimeMillis() > end) {
					throw new CannotRun(entry.name + " did not become ready");
				}
				Store.pause(100);
			}
		}
		this.record.say("%d entries, %d batch processes and %d runners are up", entryCount, batchCount,
				this.runners.size());
	}

	List<Node> nodes() {
		return Stream.concat(this.entries.stream(), this.batches.stream()).toList();
	}

	@Override
	public synchronized void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		nodes().forEach(Node::kill);
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
		}
		catch (IOException ex) {
			System.err.println("the temporary folder was not removed: " + ex);
		}
	}

	/** Thrown where a case cannot run. */
	static final class CannotRun extends Exception {

		private static final long serialVersionUID = 1;

		CannotRun(String message) {
			super(message);
		}

	}

	/** A machine with its process. */
	final class Node {

		final String name;

		final int front;

		final int readiness;

		/** Seconds at which the process ended by itself. */
		final List<Double> ends = new ArrayList<>();

		private final String role;

		private final String zone;

		private final boolean entry;

		private final int internal;

		/** The port at which this machine reaches the store. */
		private final int store;

		private final Path log;

		private volatile Process process;

		private volatile boolean stopped;

		Node(String name, String role, String zone, boolean entry) throws IOException {
			this.name = name;
			this.role = role;
			this.zone = zone;
			this.entry = entry;
			this.front = freePort();
			this.readiness = freePort();
			this.internal = freePorts();
			this.store = Fleet.this.store.open(name);
			this.log = Fleet.this.folder.resolve(name + ".log");
		}

		private Path settings() throws IOException {
			Path file = Fleet.this.folder.resolve(this.name + ".toml");
			StringBuilder text = new StringBuilder();
			text.append("nodeName = \"").append(this.name).append("\"\n");
			text.append("role = \"").append(this.role).append("\"\n");
			text.append("machineClass = \"").append(this.entry ? "edge" : "storage").append("\"\n");
			text.append("serves = [\"").append(this.entry ? "edge" : "storage").append("\"]\n");
			text.append("ip = \"127.0.0.1\"\nzone = \"").append(this.zone).append("\"\nregion = \"atl\"\n");
			text.append("internalPorts = [").append(this.internal).append(", ").append(this.internal + 1).append("]\n");
			text.append("seeds = []\nbootstrap = true\ncountsInTolerance = ").append(!this.entry).append("\n");
			text.append("discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1200\n");
			text.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\","
					+ "\"engine\",\"platform\"]\n");
			text.append("[zones]\natl-a = \"atl\"\natl-b = \"atl\"\natl-c = \"atl\"\n[listen]\n");
			if (this.entry) {
				text.append("front = \"127.0.0.1:").append(this.front).append("\"\n");
				text.append("readiness = \"127.0.0.1:").append(this.readiness).append("\"\n");
			}
			text.append("[limits]\ncpuShare = ").append(this.entry ? "0.57" : "0.75").append("\ncores = ");
			text.append(this.entry ? 1 : 2).append("\nmemoryMb = ").append(this.entry ? 430 : 490);
			text.append("\nfileDescriptors = 4200\nlinkMbps = 1000.0\ndiskMb = ").append(this.entry ? 0 : 640);
			text.append("\n[faultTolerance]\nmachines = 1\nzones = 0\nregions = 0\n");
			text.append("[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\ncatchUpS = 5.3\n"
					+ "drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\n"
					+ "maxStretchMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nfinishS = 18\nstatusS = 120\n"
					+ "cancelMs = 3000\nsettleMs = 1000\nquotaOverage = 0.1\n");
			text.append("[platform]\naddress = \"127.0.0.1:").append(this.store);
			text.append("\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
					+ "valueBytes = 1048576\nttlMinMs = 1000\n");
			Files.writeString(file, text);
			return file;
		}

		void start() throws IOException {
			ProcessBuilder builder = new ProcessBuilder(
					Arrays.asList(Fleet.this.commands.get(this.role).trim().split(" +")));
			Map<String, String> old = Map.copyOf(builder.environment());
			builder.environment().clear();
			for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
				if (old.containsKey(kept)) {
					builder.environment().put(kept, old.get(kept));
				}
			}
			builder.environment().put("RAGWORTHOOK_SETTINGS", settings().toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			Process started = builder.start();
			this.process = started;
			started.onExit().thenAccept(this::ended);
		}

		private void ended(Process which) {
			if (Fleet.this.closed || this.stopped || which != this.process) {
				return;
			}
			this.ends.add(Fleet.this.record.seconds());
			Fleet.this.record.say("%s ended by itself with exit code %d; last line of its log: %s", this.name,
					which.exitValue(), lastLine());
			Store.pause(RESTART_MILLIS);
			if (Fleet.this.closed) {
				return;
			}
			try {
				start();
				Fleet.this.record.line("%s was started again", this.name);
			}
			catch (IOException ex) {
				Fleet.this.record.say("%s could not be started again: %s", this.name, ex);
			}
		}

		String lastLine() {
			try {
				List<String> lines = Files.readAllLines(this.log);
				for (int n = lines.size() - 1; n >= 0; n--) {
					if (lines.get(n).contains("OutOfMemoryError")) {
						return lines.get(n);
					}
				}
				return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
			}
			catch (IOException ex) {
				return "";
			}
		}

		Path log() {
			return this.log;
		}

		Process process() {
			return this.process;
		}

		void kill() {
			this.stopped = true;
			Process running = this.process;
			if (running != null) {
				running.destroyForcibly();
				try {
					running.waitFor();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
			return socket.getLocalPort();
		}
	}

	/** Returns the first of two free ports that follow each other. */
	private static int freePorts() throws IOException {
		while (true) {
			int port = freePort();
			try (DatagramSocket first = new DatagramSocket(
					new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
					ServerSocket second = new ServerSocket()) {
				second.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port + 1));
				return port;
			}
			catch (IOException ex) {
				// One of the two is taken.
			}
		}
	}

}
