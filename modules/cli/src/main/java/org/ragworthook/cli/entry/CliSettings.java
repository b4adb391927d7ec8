package org.ragworthook.cli.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.ragworthook.cli.output.ExitCode;

/**
 * Where the entries are and with which key to call them. A flag goes before the
 * environment, the environment before the settings file.
 *
 * @param entries base URLs, tried in order
 * @param key the bearer key, if there is one
 */
public record CliSettings(List<String> entries, Optional<String> key) {

	/** Names entries in the environment. */
	public static final String ENTRY_VARIABLE = "RAGWORTHOOK_ENTRY";

	/** Holds the key in the environment. */
	public static final String KEY_VARIABLE = "RAGWORTHOOK_KEY";

	private static final JsonMapper JSON = JsonMapper.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private static final Set<String> KEYS = Set.of("entry", "key");

	/**
	 * Copies the entries.
	 */
	public CliSettings {
		entries = List.copyOf(Objects.requireNonNull(entries, "entries is null"));
		Objects.requireNonNull(key, "key is null");
	}

	/**
	 * Puts the settings together.
	 * @param flags the entry and key given as flags, where given
	 * @param environment the process's environment
	 * @param file the settings file named by a flag, if one is
	 * @return the settings
	 * @throws CliException if the file cannot be read or no entry is named anywhere
	 */
	public static CliSettings resolve(Flags flags, Map<String, String> environment, Optional<Path> file) {
		JsonNode settings = read(file, environment);
		String entry = flags.entry()
			.or(() -> Optional.ofNullable(environment.get(ENTRY_VARIABLE)))
			.or(() -> text(settings, "entry"))
			.orElseThrow(() -> new CliException(ExitCode.USAGE, "no entry is named; give --entry URL, set "
					+ ENTRY_VARIABLE + " or write {\"entry\": \"URL\"} to ~/.config/ragworthook/cli.json"));
		Optional<String> key = flags.key()
			.or(() -> Optional.ofNullable(environment.get(KEY_VARIABLE)))
			.or(() -> text(settings, "key"));
		return new CliSettings(Arrays.stream(entry.split(",")).map(CliSettings::baseUrl).toList(), key);
	}

	private static String baseUrl(String entry) {
		String url = entry.strip();
		url = url.contains("://") ? url : "http://" + url;
		return url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
	}

	private static Optional<String> text(JsonNode settings, String name) {
		return Optional.ofNullable(settings.get(name)).map(JsonNode::asText);
	}

	private static JsonNode read(Optional<Path> file, Map<String, String> environment) {
		Path path = file
			.orElseGet(() -> Path.of(environment.getOrDefault("HOME", "."), ".config", "ragworthook", "cli.json"));
		if (file.isEmpty() && !Files.exists(path)) {
			return JSON.createObjectNode();
		}
		try {
			return checked(JSON.readTree(Files.readString(path)), path);
		}
		catch (JsonProcessingException ex) {
			throw new CliException(ExitCode.USAGE, path + ":" + ex.getLocation().getLineNr() + ":"
					+ ex.getLocation().getColumnNr() + " is not JSON: " + ex.getOriginalMessage() + "; mend it there");
		}
		catch (IOException ex) {
			throw new CliException(ExitCode.USAGE,
					path + " cannot be read; check that it exists and that this user may read it");
		}
	}

	private static JsonNode checked(JsonNode settings, Path path) {
		for (Iterator<String> names = settings.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!KEYS.contains(name)) {
				throw new CliException(ExitCode.USAGE,
						path + ": key '" + name + "' is not known; use \"entry\" and \"key\"");
			}
		}
		return settings;
	}

	/**
	 * What was given as flags.
	 *
	 * @param entry base URLs, separated by commas
	 * @param key the bearer key
	 */
	public record Flags(Optional<String> entry, Optional<String> key) {
	}

}
