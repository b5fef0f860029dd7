import java.util.Locale;

/**
 * One of eight servers fails part of the orders that it has begun to work on, with a 503
 * that does not say that the order was not run. Checks the rule REFUSED.
 */
final class Case10 {

	private static final int ORDERS = 200;

	private Case10() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Small small = new Small(arguments[0], arguments[1], 8)) {
			exit = run(small, trouble);
			small.record.log("exit %d", exit);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static int run(Small small, boolean trouble) {
		if (trouble) {
			small.servers.get(0).failing = 0.4;
		}
		int served = 0;
		int broken = 0;
		for (int n = 0; n < ORDERS; n++) {
			String id = Site.newId();
			String entry = small.entries.get(n % small.entries.size()).callers();
			Http.Response response = Http.call(entry, "POST", "/order/a", Site.headers(id, 6000),
					Fleet.bytes("order " + n), 7000);
			boolean refused = (response.status() == 503) || (response.status() == 429) || (response.status() == 408)
					|| (response.status() == 421);
			boolean wrong = refused && small.hasRun(id);
			small.record.log("order %s: %d %s%s", id, response.status(), response.whole() ? "whole" : response.cause(),
					wrong ? ", although it has run" : "");
			served += (response.status() == 200) ? 1 : 0;
			broken += wrong ? 1 : 0;
		}
		small.record.log("%d of %d orders served, %d answered as not run although they have run", served, ORDERS,
				broken);
		System.out.printf(Locale.ROOT, "served %d, refused after a run %d%n", served, broken);
		if (served < (ORDERS / 2)) {
			return 2;
		}
		return (broken > 0) ? 1 : 0;
	}

}
