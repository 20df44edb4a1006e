import type {Host} from '../ports/host-list.ts';
import type {Log} from '../process/log.ts';
import {createDaemon, type Daemon, type DaemonTuning} from '../process/wiring.ts';
import {EngineServer, type EngineOptions} from '../stand-ins/engine/engine-server.ts';
import {HostsServer} from '../stand-ins/hosts/hosts-server.ts';
import {PlatformServer} from '../stand-ins/platform/platform-server.ts';
import {ServiceServer} from '../stand-ins/service/service-server.ts';
import {parseSettings, type Settings} from '../version/settings.ts';
import {seedConfiguration} from './seed-configuration.ts';

/** Options of a deployment on the loopback interface. */
export type LocalDeploymentOptions = {
	/** @default ['zone-a', 'zone-b', 'zone-c'] */
	readonly availabilityZones?: readonly string[];
	/** Daemons in each availability zone. @default 1 */
	readonly daemonsPerZone?: number;
	/** Engines of each model in each availability zone. @default 1 */
	readonly enginesPerZone?: number;
	/** @default {} */
	readonly tuning?: DaemonTuning;
	/** Returns the tuning for the daemons of an availability zone; overrides `tuning`. */
	readonly tuningOf?: (availabilityZone: string) => DaemonTuning;
	/** Order handling of the engines. @default {} */
	readonly engineOrders?: EngineOptions['orders'];
	readonly log: Log;
};

/** API key of the demo customer. */
export const demoKey = 'demo-key';

/** Names of the models that the engines of a local deployment serve. */
export const demoModels = ['press-check', 'batch-notes'] as const;

/** Name of the plain service of a local deployment. */
export const demoService = 'orders';

const loopback = {host: '127.0.0.1', port: 0};

/** Daemons and stand-ins that run in one process. */
export type LocalDeployment = AsyncDisposable & {
	readonly daemons: readonly Daemon[];
	readonly platform: PlatformServer;
	readonly hosts: HostsServer;
	readonly engines: readonly EngineServer[];
	readonly services: readonly ServiceServer[];
	/** Returns the settings file text for an additional daemon. */
	readonly settingsText: (id: string, availabilityZone: string) => string;
	/** Base URLs of the daemons. */
	readonly urls: readonly string[];
};

/** Starts stand-ins and daemons on free ports of the loopback interface. */
export async function createLocalDeployment(options: LocalDeploymentOptions): Promise<LocalDeployment> {
	const {availabilityZones = ['zone-a', 'zone-b', 'zone-c'], daemonsPerZone = 1, enginesPerZone = 1, log} = options;
	const resources = new AsyncDisposableStack();
	const platform = resources.use(new PlatformServer());
	const {port: platformPort} = await platform.listen(loopback);
	await seedConfiguration(platform.table, platform.objects, [{customer: 'demo', key: demoKey}]);
	const hostList: Host[] = [];
	const engines: EngineServer[] = [];
	const services: ServiceServer[] = [];
	for (const availabilityZone of availabilityZones) {
		for (const model of demoModels) {
			for (let index = 0; index < enginesPerZone; index += 1) {
				const id = `${model}-${availabilityZone}-${index}`;
				const engine = resources.use(new EngineServer({id, model, orders: options.engineOrders}));
				const {port} = await engine.listen(loopback);
				engines.push(engine);
				hostList.push(createHost({
					kind: 'engine', id, availabilityZone, serves: model,
				}, port));
			}
		}

		const service = resources.use(new ServiceServer());
		const {port} = await service.listen(loopback);
		services.push(service);
		hostList.push(createHost({
			kind: 'service', id: `${demoService}-${availabilityZone}`, availabilityZone, serves: demoService,
		}, port));
	}

	const hosts = resources.use(new HostsServer(hostList));
	const {port: hostsPort} = await hosts.listen(loopback);
	const settingsText = (id: string, availabilityZone: string) => createSettingsText(id, availabilityZone, platformPort, hostsPort);
	const daemons: Daemon[] = [];
	for (const availabilityZone of availabilityZones) {
		for (let index = 0; index < daemonsPerZone; index += 1) {
			const id = `daemon-${availabilityZone}-${index}`;
			const settings = createSettings(settingsText(id, availabilityZone));
			const daemon = resources.use(await createDaemon(settings, log.child(id), options.tuningOf?.(availabilityZone) ?? options.tuning));
			daemons.push(daemon);
			hostList.push(createHost({
				kind: 'daemon', id, availabilityZone, serves: '',
			}, daemon.peerAddress.port));
		}
	}

	hosts.setHosts(hostList);

	return {
		daemons,
		platform,
		hosts,
		engines,
		services,
		settingsText,
		urls: daemons.map(({address}) => `http://${address.host}:${address.port}`),
		[Symbol.asyncDispose]: async () => resources.disposeAsync(),
	};
}

function createHost(host: Pick<Host, 'kind' | 'id' | 'availabilityZone' | 'serves'>, port: number): Host {
	return {
		...host, address: `127.0.0.1:${port}`, state: 'live', enforcesFencing: true,
	};
}

function createSettingsText(id: string, availabilityZone: string, platformPort: number, hostsPort: number): string {
	return [
		'[daemon]',
		`id = ${id}`,
		`availability-zone = ${availabilityZone}`,
		'listen = 127.0.0.1:0',
		'peer-listen = 127.0.0.1:0',
		'[platform]',
		`table = http://127.0.0.1:${platformPort}`,
		`objects = http://127.0.0.1:${platformPort}`,
		`hosts = http://127.0.0.1:${hostsPort}/hosts`,
		'[shutdown]',
		'balancer-delay-ms = 0',
	].join('\n');
}

function createSettings(text: string): Settings {
	return parseSettings(text, 'local deployment').caseOf({
		Left(findings) {
			throw new Error(findings.map(finding => finding.message).join('; '));
		},
		Right: settings => settings,
	});
}
