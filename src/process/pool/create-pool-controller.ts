import {Counter, Gauge, type Registry} from 'prom-client';
import type {DutyAuthority, PlatformDuties} from '../../ports/platform-duties.ts';
import type {Upstream} from '../../ports/upstream.ts';
import type {PoolScaling, Service} from '../../version/routes/route-configuration.ts';
import type {Clock} from '../clock.ts';
import type {DutyLease} from '../duties/duty-lease.ts';
import type {DecisionLog} from '../fleet/decision-log.ts';
import type {FleetScheduler} from '../fleet/fleet-scheduler.ts';
import type {UpstreamRegistry} from '../fleet/upstream-registry.ts';
import {PoolController, type Pool, type PoolFigures} from './pool-controller.ts';
import type {WorkRates} from './work-rates.ts';

/** The duty to order upstreams. */
export type PoolDuty = {
	readonly duties: PlatformDuties;
	/** Authority to order; undefined unless this daemon may act at this very moment. */
	readonly authority: () => DutyAuthority | undefined;
};

/** Parts of the daemon that the pool controller reads. */
export type PoolDependencies = {
	readonly duty: PoolDuty;
	readonly clock: Clock;
	readonly log: DecisionLog;
	/** Registry of the daemon's metrics. */
	readonly metrics: Registry;
	readonly workRates: WorkRates;
	readonly registry: UpstreamRegistry;
	readonly scheduler: FleetScheduler;
	/** Services of the active configuration, by name. */
	readonly services: () => ReadonlyMap<string, Service>;
};

/** Price of an upstream in a zone for which none is configured. */
const defaultPrice = 1;

type FigureName = 'desired' | 'present' | 'coming' | 'leaving';

const figureNames: readonly FigureName[] = ['desired', 'present', 'coming', 'leaving'];

/** Creates the duty to order upstreams; undefined if the platform expects no calls of duties. */
export function createPoolDuty(duties: PlatformDuties | undefined, lease: DutyLease | undefined): PoolDuty | undefined {
	return duties === undefined || lease === undefined ? undefined : {duties, authority: () => lease.authority};
}

/** Creates the controller that orders the numbers of upstreams of all model services with bounds for them; the load of other services is not measured. */
export function createPoolController({duty, clock, log, metrics, workRates, registry, scheduler, services}: PoolDependencies): PoolController {
	const orders = new Counter({
		name: 'wagtailtack_pool_orders_total', help: 'Orders of numbers of upstreams, by result', labelNames: ['result'], registers: [metrics],
	});
	const controller = new PoolController({
		...duty,
		clock,
		log,
		pools: () => [...services().values()].flatMap<Pool>(service => {
			if (service.scaling === undefined || service.engine === undefined) {
				return [];
			}

			const upstreams = registry.listed(service.name);
			return [{
				service,
				scaling: addZones(service.scaling, upstreams),
				upstreams,
				work: workRates.measure(service.name, clock.now()),
				stages: scheduler.measureDemand(service.name, service.engine.slots),
			}];
		}),
		onOrdered(_order, result) {
			orders.inc({result});
		},
	});
	addPoolGauge(metrics, () => controller.figures());
	return controller;
}

/** Adds the zones in which the service runs and that have no price of their own. */
function addZones(scaling: PoolScaling, upstreams: readonly Upstream[]): PoolScaling {
	const prices = new Map(upstreams.map(({availabilityZone}) => [availabilityZone, defaultPrice]));
	return {...scaling, zonePrices: new Map([...prices, ...scaling.zonePrices])};
}

function addPoolGauge(metrics: Registry, figures: () => readonly PoolFigures[]): void {
	// The registry holds the gauge and collects it at each scrape.
	// eslint-disable-next-line no-new
	new Gauge({
		name: 'wagtailtack_pool_upstreams',
		help: 'Upstreams of the services whose number is ordered, at the daemon that orders them',
		labelNames: ['service', 'zone', 'kind', 'figure'],
		registers: [metrics],
		collect() {
			this.reset();
			for (const {service, availabilityZone, kind, ...numbers} of figures()) {
				for (const figure of figureNames) {
					this.set({
						service, zone: availabilityZone, kind, figure,
					}, numbers[figure]);
				}
			}
		},
	});
}
