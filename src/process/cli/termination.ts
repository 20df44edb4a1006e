import process from 'node:process';

/** Resolves on the first SIGTERM or SIGINT; later signals are ignored, so that they cannot interrupt a drain. */
export async function waitForTermination(): Promise<void> {
	const {promise, resolve} = Promise.withResolvers<void>();
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			resolve();
		});
	}

	await promise;
}
