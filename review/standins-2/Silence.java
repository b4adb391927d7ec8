import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The store is silent for one storage machine for some seconds. Meanwhile a client ends a
 * batch job that this machine runs. Counts the items of that job that reach a runner when
 * the machine is in touch again and cancelMs are over.
 */
final class Silence {

	private static final int ITEMS = 200;

	/** Events of an item: what the sheet states for a long one. */
	private static final int EVENTS = 188;

	private static final long EVENT_MILLIS = 10;

	private static final long SILENT_MILLIS = 4_500;

	private static final long STABLE_WINDOW_MILLIS = 3_000;

	private static final long CANCEL_MILLIS = 3_000;

	private Silence() {
	}

	public static void main(String[] arguments) throws Exception {
		Record record = new Record(Path.of(arguments[0], "record.txt"));
		int result = 2;
		Fleet fleet = null;
		try {
			fleet = new Fleet(record);
			result = run(record, fleet, !"0".equals(System.getenv("TROUBLE")));
		}
		catch (Exception ex) {
			record.line("could not run: %s", ex);
			ex.printStackTrace();
		}
		finally {
			if (fleet != null) {
				fleet.close();
			}
		}
		record.line("exit %d", result);
		System.exit(result);
	}

	private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
		Fleet.Machine entry = fleet.add("entry", 0);
		List<Fleet.Machine> storage = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			storage.add(fleet.add("batch", n));
		}
		List<Runner> runners = new ArrayList<>();
		for (int n = 0; n < 3; n++) {
			Runner runner = new Runner(record, fleet.store, "i-7f3a91c" + n, "127.0.0.1", fleet.runnerPort(n),
					"huvo11a", "z-a", "v1", EVENT_MILLIS);
			runner.listen();
			runner.register(true);
			runners.add(runner);
		}
		fleet.configure(7, "huvo11a", "huvo11a");
		fleet.start(entry);
		for (Fleet.Machine machine : storage) {
			fleet.start(machine);
		}
		fleet.awaitReady(entry);
		String base = "http://" + entry.ip + ":" + fleet.front();
		Thread.sleep(3_000);

		// A job for each machine; the hash of the id decides which one runs it.
		String id = null;
		Fleet.Machine owner = null;
		for (int tries = 0; tries < 3 && owner == null; tries++) {
			id = Calls.id();
			byte[] body = Calls.job(id, ITEMS, 1_500, EVENTS);
			Calls.Answer answer = Calls.call("POST", base + "/pule252/" + id, body, 4_000, "Host", Fleet.HOST,
					"X-Request-Id", id, "Content-Type", "application/json");
			record.line("job %s sent items=%d answered %d", id, ITEMS, answer.status());
			if (answer.status() != 202) {
				return 2;
			}
			Thread.sleep(2_000);
			for (Fleet.Machine machine : storage) {
				String log = java.nio.file.Files.readString(fleet.log(machine));
				if (log.contains("event=item_placed job=" + id)) {
					owner = machine;
				}
			}
		}
		if (owner == null) {
			record.line("no machine runs the job");
			return 2;
		}
		record.line("%s runs the job", owner.name);
		long silentFrom = record.millis();
		if (trouble) {
			fleet.store.silence(owner.storePort, SILENT_MILLIS);
			record.line("store silent for %s for %d ms, answers the others", owner.name, SILENT_MILLIS);
		}
		Thread.sleep(1_000);
		Calls.Answer ended = Calls.call("DELETE", base + "/lots/" + id, null, 4_000, "Host", Fleet.HOST);
		long acknowledged = record.millis();
		record.line("job %s ended by its client, answered %d", id, ended.status());
		if (ended.status() != 200) {
			return 2;
		}
		Thread.sleep(16_000);
		long inTouch = Math.max(acknowledged + CANCEL_MILLIS,
				trouble ? silentFrom + SILENT_MILLIS + STABLE_WINDOW_MILLIS : 0);
		int late = 0;
		int before = 0;
		long last = 0;
		Set<String> items = new HashSet<>();
		for (Runner runner : runners) {
			for (Runner.Run run : runner.runs()) {
				if (run.request().startsWith(id.substring(0, 12))) {
					boolean counts = run.atMillis() > inTouch;
					late += counts ? 1 : 0;
					before += counts ? 0 : 1;
					last = Math.max(last, run.atMillis());
					items.add(run.request());
				}
			}
		}
		record.line("in touch and cancelMs over from %d on: %d runs of the ended job began before, %d later, last at %d",
				inTouch, before, late, last);
		JsonNode page = Calls.results(base, id, 0);
		record.line("job %s read: %d results of %d", id, page.path("nextToken").asInt(), page.path("total").asInt());
		return (late > 0) ? 1 : 0;
	}

}
