import {createServer} from 'node:http';
import {Agent} from 'undici';
import {closeAbruptly, listen} from '../connection/http-listener.ts';
import {DynamoTable} from '../platform/dynamo-table.ts';
import {HttpEngine} from '../platform/engine.ts';
import {HttpHostList, type Host} from '../platform/host-list.ts';
import type {Call} from '../request/call.ts';
import type {Settings} from '../version/settings.ts';
import {parseAddress, type Address} from './address.ts';
import {Authority, type AuthorityTimes} from './authority.ts';
import {SystemClock} from './clock.ts';
import {ConfigurationTask} from './configuration-task.ts';
import {HostListPoller} from './host-list-poller.ts';
import type {Log} from './log.ts';
import {RequestFront} from './request-front.ts';

/** A running daemon. */
export type Daemon = AsyncDisposable & {
	/** Address at which callers are served. */
	readonly address: Address;
	/** True once configuration and hosts are known. */
	readonly isReady: () => boolean;
	/** Leases and orders of this daemon. */
	readonly authority: Authority;
};

/** Durations that tests shorten. */
export type DaemonTuning = {
	/** @default authorityTimes */
	readonly authorityTimes?: AuthorityTimes;
};

/** Constructs the daemon from its parts and starts it. */
export async function createDaemon(settings: Settings, log: Log, tuning: DaemonTuning = {}): Promise<Daemon> {
	const resources = new AsyncDisposableStack();
	const table = resources.use(new DynamoTable({
		endpoint: settings.platform.table,
		tableName: settings.platform['table-name'],
	}));
	const hostList = resources.use(new HostListPoller(log.part('hosts'), new HttpHostList(settings.platform.hosts)));
	const configuration = resources.use(new ConfigurationTask(log.part('configuration'), table));
	const authority = resources.use(new Authority({
		log: log.part('authority'),
		table,
		clock: new SystemClock(),
		engine: new HttpEngine(),
		daemon: settings.daemon.id,
		availabilityZone: settings.daemon['availability-zone'],
		hosts: () => hostList.hosts,
		times: tuning.authorityTimes,
	}));
	const dispatcher = resources.adopt(new Agent({headersTimeout: 0, bodyTimeout: 0}), async agent => agent.destroy());
	const isReady = () => configuration.isLoaded && hostList.hosts.length > 0;
	const front = new RequestFront({
		log: log.part('front'),
		dispatcher,
		bodyLimit: settings.limits['body-bytes'],
		keys: () => configuration.keys,
		upstreams: call => hostList.hosts.filter(host => host.state === 'live' && !authority.draining.has(host.id) && serves(host, call)),
		isReady,
	});
	const server = createServer({maxHeaderSize: settings.limits['header-bytes']}, (request, response) => {
		void front.handle(request, response);
	});
	hostList.run();
	configuration.run();
	authority.run();
	const address = await listen(server, parseAddress(settings.daemon.listen));
	resources.defer(async () => closeAbruptly(server));
	log.info('Daemon started.', {id: settings.daemon.id, address});
	return {
		address,
		isReady,
		authority,
		[Symbol.asyncDispose]: async () => resources.disposeAsync(),
	};
}

function serves(host: Host, call: Call): boolean {
	return call.kind === 'model'
		? host.kind === 'engine' && host.serves === call.model
		: host.kind === 'service' && host.serves === call.service;
}
