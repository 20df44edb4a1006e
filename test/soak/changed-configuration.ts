import type {Random} from '../../src/process/random.ts';
import {createOperatorConfiguration} from '../fixtures/fleet/fleet-fixture.ts';

/** For each service of the operator's configuration, another one to which its routes can be moved. */
export const spareServices = {desk: 'annex', model: 'spare'} as const;

/** Smallest part of its usual timeout that a changed route has. */
export const leastTimeoutRatio = 0.6;

type Route = {readonly name: string; readonly service: keyof typeof spareServices; readonly timeout_ms: number};
type Service = {readonly name: keyof typeof spareServices};

/** Creates a configuration that moves some routes to other services, shortens timeouts, has or lacks a further route, and changes the limits of callers. */
export function createChangedConfiguration(version: number, random: Random): Readonly<Record<string, unknown>> {
	const {routes, services, limits} = createOperatorConfiguration() as {readonly routes: readonly Route[]; readonly services: readonly Service[]; readonly limits: Readonly<Record<string, number>>};
	const changed = routes.map(route => ({
		...route,
		service: random.integer(2) === 0 ? route.service : spareServices[route.service],
		timeout_ms: Math.round(route.timeout_ms * (leastTimeoutRatio + (random.next() * (1 - leastTimeoutRatio)))),
	}));
	const further = {...changed.find(({name}) => name === 'book'), name: 'extra', path_prefix: '/extra/'};
	return createOperatorConfiguration({
		version,
		routes: random.integer(2) === 0 ? changed : [...changed, further],
		services: [...services, ...services.map(service => ({...service, name: spareServices[service.name]}))],
		// Callers use connections again that were idle for up to 1.5 s.
		limits: {...limits, idle_timeout_ms: 2000 + random.integer(13_000), header_timeout_ms: 1000 + random.integer(2000)},
	});
}
