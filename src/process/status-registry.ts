/** One part of the daemon's status: a value that can be written as JSON. */
export type StatusProvider = () => unknown;

/** Sections of the daemon's status; each part of the daemon supplies its own. */
export class StatusRegistry {
	readonly #providers = new Map<string, StatusProvider>();

	/** Adds a section under a name that is not taken. */
	addSection(name: string, provider: StatusProvider): void {
		if (this.#providers.has(name)) {
			throw new Error(`The status section ${name} has a provider.`);
		}

		this.#providers.set(name, provider);
	}

	/** Reads every section; a section that fails holds its error. */
	read(): Readonly<Record<string, unknown>> {
		return Object.fromEntries([...this.#providers].map(([name, provider]) => [name, readSection(provider)]));
	}
}

function readSection(provider: StatusProvider): unknown {
	try {
		return provider();
	} catch (error) {
		return {error: String(error)};
	}
}
