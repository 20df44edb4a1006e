import type {
	ClientLimits, Route, RouteConfiguration, Service,
} from './route-configuration.ts';

/** Routes of one configuration version, found by host and longest path prefix. */
export class RouteTable {
	readonly version: number;
	readonly limits: ClientLimits;
	readonly #services: ReadonlyMap<string, Service>;
	readonly #hosts = new Map<string, Map<string, Route>>();

	constructor({version, routes, services, limits}: RouteConfiguration) {
		this.version = version;
		this.limits = limits;
		this.#services = new Map(services.map(service => [service.name, service]));
		for (const route of routes) {
			const host = normalizeHost(route.host);
			const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
			prefixes.set(route.pathPrefix, route);
			this.#hosts.set(host, prefixes);
		}
	}

	/** Services by name. */
	get services(): ReadonlyMap<string, Service> {
		return this.#services;
	}

	/** Returns the route with the longest prefix of the path; ignores the query. */
	match(host: string, target: string): Route | undefined {
		const prefixes = this.#hosts.get(normalizeHost(host));
		if (prefixes === undefined) {
			return undefined;
		}

		const query = target.indexOf('?');
		const path = query === -1 ? target : target.slice(0, query);
		for (let slash = path.lastIndexOf('/'); slash !== -1; slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1)) {
			const route = prefixes.get(path.slice(0, slash + 1));
			if (route !== undefined) {
				return route;
			}
		}

		return undefined;
	}
}

/** Chooses the service for a request by the weights of the route's targets; `draw` is a random number from 0 (inclusive) to 1 (exclusive). */
export function chooseTarget({targets}: Route, draw: number): string | undefined {
	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = draw * total;
	for (const {service, weight} of targets) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return targets.at(-1)?.service;
}

/** Returns the name of a `host` header in lower case, without the port. */
export function normalizeHost(host: string): string {
	const colon = host.lastIndexOf(':');
	return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
}
