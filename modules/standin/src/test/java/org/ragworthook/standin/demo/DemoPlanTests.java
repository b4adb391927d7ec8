package org.ragworthook.standin.demo;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragworthook.core.contract.ServiceType;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link DemoPlan} and {@link PromiseTable}.
 */
class DemoPlanTests {

	private static final Path EXAMPLES = Path.of("../../examples");

	@ParameterizedTest
	@ValueSource(strings = { "peachtree", "fiestas" })
	void shouldPlanThreeEntriesAndThirteenSidecars(String name) {
		DemoPlan plan = DemoPlan.of(Deployment.read(EXAMPLES, name), 20_000, "priority", 16);
		assertThat(plan.entries()).hasSize(3);
		assertThat(plan.sidecars(ServiceType.MODEL)).hasSize(11);
		assertThat(plan.sidecars(ServiceType.PLAIN)).hasSize(2);
		Set<Integer> ports = new HashSet<>();
		plan.processes().forEach((process) -> {
			assertThat(ports.add(process.http().port())).isTrue();
			assertThat(ports.add(process.link().port())).isTrue();
			process.upstream().ifPresent((upstream) -> assertThat(ports.add(upstream.port())).isTrue());
		});
	}

	@Test
	void shouldHoldOnlyIfEveryPromiseWasTestedAndHeld() {
		PromiseTable table = new PromiseTable();
		table.add("first", true, "0 lost");
		assertThat(table.allHeld()).isTrue();
		table.notRun("second", "nothing was accepted");
		assertThat(table.allHeld()).isFalse();
		table.add("third", false, "1 lost");
		assertThat(table.text()).endsWith("promises: 1 held, 1 broken, 1 not run");
	}

}
