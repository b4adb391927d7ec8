package org.ragworthook.cli.explain;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.ragworthook.cli.command.Command;
import org.ragworthook.cli.command.Session;
import org.ragworthook.cli.entry.CliException;
import org.ragworthook.cli.output.ExitCode;
import org.ragworthook.cli.output.Report;

/**
 * Tells from logs what became of one request, or why requests were not answered in time.
 */
public final class ExplainCommand implements Command {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	@Argument(metaVar = "LOG...", required = true, usage = "logs of the processes, as they or a collector wrote them")
	private List<Path> files = new ArrayList<>();

	@Option(name = "--request", metaVar = "ID", usage = "tell of this request alone, with each decision")
	private String request;

	@Option(name = "--goal", metaVar = "MS", usage = "how soon an answer had to begin to be in time (300)")
	private long goalMillis = 300;

	@Option(name = "--seconds", usage = "list the seconds with losses in place of the causes")
	private boolean seconds;

	@Override
	public ExitCode run(Session session) {
		LogReader reader = new LogReader();
		for (Path file : this.files) {
			read(reader, file);
		}
		if (this.request != null) {
			return story(session, reader);
		}
		LossTable table = LossTable.of(reader.stories().values(), this.goalMillis);
		session.printer().print(this.seconds ? bySecond(table) : byCause(table));
		return ExitCode.OK;
	}

	private static void read(LogReader reader, Path file) {
		try {
			reader.read(file);
		}
		catch (IOException ex) {
			throw new CliException(ExitCode.USAGE, file + " cannot be read: " + ex.getMessage());
		}
	}

	private ExitCode story(Session session, LogReader reader) {
		RequestStory story = reader.stories().get(this.request);
		if (story == null) {
			throw new CliException(ExitCode.USAGE, "no line of " + reader.lines() + " names request " + this.request
					+ "; give the logs of all entries and of the processes that run jobs");
		}
		ArrayNode json = MAPPER.createArrayNode();
		Report report = Report.of(json, "AT_MS", "PROCESS", "EVENT", "SAYS");
		long first = story.lines().get(0).atMillis();
		for (LogLine line : story.lines()) {
			ObjectNode row = json.addObject();
			row.put("atMillis", line.atMillis()).put("process", line.process()).put("event", line.event());
			line.pairs().forEach(row::put);
			report.row(line.atMillis() - first, line.process(), line.event(), says(line));
		}
		if (story.end().isPresent() && !story.inTime(this.goalMillis)) {
			String words = story.cause(this.goalMillis).words();
			json.addObject().put("cause", words);
			report.row("", "", "cause", words);
		}
		Refusal.of(story).ifPresent((refusal) -> {
			json.addObject().put("refusal", refusal);
			report.row("", "", "refusal", refusal);
		});
		session.printer().print(report);
		return ExitCode.OK;
	}

	private static String says(LogLine line) {
		return line.pairs()
			.entrySet()
			.stream()
			.filter((pair) -> !pair.getKey().equals("request"))
			.sorted(Map.Entry.comparingByKey())
			.map((pair) -> pair.getKey() + "=" + pair.getValue())
			.collect(Collectors.joining(" "));
	}

	private Report byCause(LossTable table) {
		ObjectNode json = MAPPER.createObjectNode().put("ended", table.ended());
		Report report = Report.of(json, "CAUSE", "LATE", "REFUSED", "FAILED", "LEFT");
		LossTable.Counts all = new LossTable.Counts(0, 0, 0, 0);
		for (Map.Entry<Cause, LossTable.Counts> entry : table.byCause().entrySet()) {
			row(report, json, entry.getKey().words(), entry.getValue());
			all = all.plus(entry.getValue());
		}
		row(report, json, "all, of " + table.ended() + " requests", all);
		return report;
	}

	private static void row(Report report, ObjectNode json, String words, LossTable.Counts counts) {
		report.row(words, counts.late(), counts.refused(), counts.failed(), counts.left());
		json.putObject(words)
			.put("late", counts.late())
			.put("refused", counts.refused())
			.put("failed", counts.failed())
			.put("left", counts.left());
	}

	private static Report bySecond(LossTable table) {
		ObjectNode json = MAPPER.createObjectNode();
		Report report = Report.of(json, "SECOND", "LOST", "CAUSES");
		table.bySecond().forEach((second, causes) -> {
			int lost = causes.values().stream().mapToInt(Integer::intValue).sum();
			String words = causes.entrySet()
				.stream()
				.map((entry) -> entry.getValue() + " " + entry.getKey().words())
				.collect(Collectors.joining(", "));
			report.row(second, lost, words);
			json.put(String.valueOf(second), lost);
		});
		return report;
	}

}
