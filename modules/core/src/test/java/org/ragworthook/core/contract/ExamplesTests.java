package org.ragworthook.core.contract;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class ExamplesTests {

	@ParameterizedTest
	@CsvSource({ "peachtree, measuring-desk, cut-sheets, peachtree-tablet-key, installers, appointments, /appointments",
			"fiestas, entertainer-assistant, programmes, fiestas-agents-key, agents, bookings, /bookings/17" })
	void shouldParseTheExampleContracts(String file, String service, String adapter, String key, String account,
			String plain, String path) throws IOException {
		String text = Files.readString(Path.of("../../examples", file + ".json"));
		ValidationResult result = Contract.validate(7, text);
		assertThat(result.problems()).isEmpty();
		Contract contract = Contract.parse(7, text);
		assertThat(contract.version()).isEqualTo(7);
		assertThat(contract.serviceOfModel(adapter).map(Service::name)).hasValue(service);
		assertThat(contract.accountOfKey(key).map(Account::name)).hasValue(account);
		assertThat(contract.accountOfKey(key + "x")).isEmpty();
		assertThat(contract.operatorOfKey(key)).isEmpty();
		Service calls = contract.service(plain).orElseThrow();
		assertThat(calls.idempotent("POST", path)).isFalse();
		assertThat(calls.idempotent("GET", path)).isTrue();
	}

}
