/** Returns one section of the daemon's status as a value that can be serialized as JSON. */
export type StatusProvider = () => unknown;

/** Sections of the daemon's status, each provided by a component of the daemon. */
export class StatusRegistry {
	readonly #providers = new Map<string, StatusProvider>();

	/** Adds a section; throws if the name is already in use. */
	addSection(name: string, provider: StatusProvider): void {
		if (this.#providers.has(name)) {
			throw new Error(`Status section "${name}" already has a provider.`);
		}

		this.#providers.set(name, provider);
	}

	/** Reads all sections; a section whose provider throws contains the error. */
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
