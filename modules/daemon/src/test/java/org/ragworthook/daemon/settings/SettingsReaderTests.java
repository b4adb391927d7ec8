package org.ragworthook.daemon.settings;

import java.nio.file.Path;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragworthook.core.error.ConfigException;
import org.ragworthook.core.error.ErrorCode;
import org.ragworthook.core.fleet.Role;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SettingsReader}.
 */
class SettingsReaderTests {

	private static final String SIDECAR = """
			{
				// beside an engine
				"role": "sidecar", "instance": "s-1", "region": "georgia", "failureDomain": "atl-a",
				"http": "127.0.0.1:8081", "link": "127.0.0.1:7081",
				"platform": {"objects": "127.0.0.1:9000", "instances": "127.0.0.1:9001"},
				"upstream": {"url": "http://127.0.0.1:9100/", "service": "measuring-desk"}
			}
			""";

	@Test
	void shouldFillInWhatIsLeftOut() {
		DaemonSettings settings = SettingsReader.parse("s.json", SIDECAR);
		assertThat(settings.role()).isEqualTo(Role.SIDECAR);
		assertThat(settings.platform().namespace()).isEqualTo("ragworthook");
		assertThat(settings.upstream().orElseThrow().url()).isEqualTo("http://127.0.0.1:9100");
		assertThat(settings.upstream().orElseThrow().policy()).isEqualTo(DaemonSettings.Policy.PRIORITY);
		assertThat(settings.limits().shards()).isEqualTo(16);
		assertThat(settings.tls()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					"role": "sidecar"               | "rolle": "sidecar"          | SETTINGS_MISSING_KEY | 'role'
					"role": "sidecar"               | "role": "sidecar", "colour": 1 | SETTINGS_UNKNOWN_KEY | s.json:3:
					"role": "sidecar"               | "role": "side"              | SETTINGS_BAD_VALUE   | one of [entry, sidecar]
					"http": "127.0.0.1:8081"        | "http": {}                  | SETTINGS_BAD_VALUE   | s.json:4:2: wrong type of value for 'http'
					"http": "127.0.0.1:8081"        | "http": "localhost"         | SETTINGS_BAD_VALUE   | 127.0.0.1:8080
					"instance": "s-1",              | ''                          | SETTINGS_MISSING_KEY | 'instance'
					"service": "measuring-desk"     | "service": "x", "sevice": 1 | SETTINGS_UNKNOWN_KEY | s.json:6:64: unknown key 'upstream.sevice'
					"service": "measuring-desk"     | "service": ""               | SETTINGS_BAD_VALUE   | upstream.service
					"service": "measuring-desk"     | "service": "x", "maxLimit": 0 | SETTINGS_BAD_VALUE | from 1 to
					"upstream":                     | "upstream"                  | SETTINGS_MALFORMED   | s.json:6:
					"region": "georgia",            | "region": "a", "region": "b", | SETTINGS_MALFORMED | Duplicate field
					""")
	void shouldNameThePlaceAndTheRemedy(String original, String changed, ErrorCode code, String detail) {
		ConfigException error = refusal(() -> SettingsReader.parse("s.json", SIDECAR.replace(original, changed)));
		assertThat(error.code()).isEqualTo(code);
		assertThat(error.getMessage()).contains(detail);
		assertThat(error.getMessage()).endsWith(code.remedy());
	}

	@Test
	void shouldRefuseASidecarWithoutUpstream() {
		String text = SIDECAR.replaceAll("(?s)},\\s*\"upstream\".*", "}}");
		ConfigException error = refusal(() -> SettingsReader.parse("s.json", text));
		assertThat(error.code()).isEqualTo(ErrorCode.SETTINGS_MISSING_KEY);
	}

	@Test
	void shouldNameAFileThatCannotBeRead() {
		ConfigException error = refusal(() -> SettingsReader.read(Path.of("does-not-exist.json")));
		assertThat(error.code()).isEqualTo(ErrorCode.SETTINGS_UNREADABLE);
	}

	private static ConfigException refusal(Supplier<DaemonSettings> reading) {
		try {
			throw new AssertionError("taken: " + reading.get());
		}
		catch (ConfigException ex) {
			return ex;
		}
	}

}
