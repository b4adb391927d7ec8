package org.ragworthook.standin.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Measures the parts and prints a Markdown table of each. Arguments name the parts;
 * without any, all are measured.
 */
public final class CapacityBench {

	private static final List<Part> PARTS = List.of(ContractPart.byAccounts(), ContractPart.byModels(), new RoutePart(),
			new GatePart(), new FairSharePart(), LeasePart.byShards(), LeasePart.byEntries(), new WatchPart(),
			new ItemPart(), new JobPart(), new LinkPart());

	private CapacityBench() {
	}

	/**
	 * Runs the benchmark.
	 * @param args names of parts
	 */
	public static void main(String[] args) {
		Set<String> wanted = Set.of(args);
		PARTS.stream().filter((part) -> wanted.isEmpty() || wanted.contains(part.name())).forEach(CapacityBench::print);
	}

	private static void print(Part part) {
		List<Integer> sizes = part.sizes();
		part.measure(sizes.get(0));
		List<List<Quantity>> measured = sizes.stream().map(part::measure).toList();
		System.out.println("### " + part.name());
		System.out.println("| by " + part.counted() + " | " + cells(sizes) + " | slope each | at zero | residual |");
		System.out.println("| --- |" + " --- |".repeat(sizes.size() + 3));
		for (int row = 0; row < measured.get(0).size(); row++) {
			int quantity = row;
			List<Double> values = measured.stream().map((figures) -> figures.get(quantity).value()).toList();
			print(measured.get(0).get(row).name(), values, Line.through(sizes, values));
		}
		System.out.println();
	}

	private static void print(String name, List<Double> values, Line line) {
		List<String> figures = new ArrayList<>(values.stream().map(CapacityBench::figure).toList());
		figures.add(figure(line.slope()));
		figures.add(figure(line.intercept()));
		figures.add(String.format(Locale.ROOT, "%.1f %%", line.residual() * 100));
		System.out.println("| " + name + " | " + String.join(" | ", figures) + " |");
	}

	private static String cells(List<Integer> sizes) {
		return IntStream.range(0, sizes.size())
			.mapToObj((index) -> String.valueOf(sizes.get(index)))
			.collect(Collectors.joining(" | "));
	}

	private static String figure(double value) {
		return String.format(Locale.ROOT, "%.4g", value);
	}

}
