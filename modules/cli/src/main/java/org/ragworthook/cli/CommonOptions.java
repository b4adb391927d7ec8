package org.ragworthook.cli;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

import org.kohsuke.args4j.Option;
import org.ragworthook.cli.entry.CliSettings;
import org.ragworthook.cli.output.Printer;

/**
 * The options that every command has.
 */
final class CommonOptions {

	@Option(name = "--entry", metaVar = "URL", usage = "an entry, or several separated by commas ($RAGWORTHOOK_ENTRY)")
	private String entry;

	@Option(name = "--key", metaVar = "KEY",
			usage = "the bearer key ($RAGWORTHOOK_KEY, which other users of this machine cannot see)")
	private String key;

	@Option(name = "--settings", metaVar = "FILE", usage = "settings file (~/.config/ragworthook/cli.json)")
	private Path settings;

	@Option(name = "--output", metaVar = "table|json", usage = "format of what is printed (table)")
	private Printer.Format output = Printer.Format.TABLE;

	@Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
	private boolean help;

	boolean help() {
		return this.help;
	}

	Printer.Format output() {
		return this.output;
	}

	CliSettings settings(Map<String, String> environment) {
		return CliSettings.resolve(
				new CliSettings.Flags(Optional.ofNullable(this.entry), Optional.ofNullable(this.key)), environment,
				Optional.ofNullable(this.settings));
	}

}
