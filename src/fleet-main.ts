/* eslint-disable import-x/order, import-x/no-unassigned-import -- These modules install signal handlers, a polyfill and V8 flags, and must be loaded before all others. */
import {handleSignals} from './process/early-signals.ts';
import './with-resolvers.ts';
import './process/heap.ts';
/* eslint-enable import-x/no-unassigned-import */
import process from 'node:process';
import {platformSettingsPath, createPlatform} from '../platform/platform.ts';
import {DecisionLog} from './process/fleet/decision-log.ts';
import {SettingsFile} from './process/fleet/settings-file.ts';
import {FleetDaemon} from './process/fleet/fleet-daemon.ts';
import {endGracefully, handleUncaughtErrors, reportUncaughtError} from './process/uncaught-errors.ts';
import {formatFinding} from './version/finding.ts';
import {parseFleetSettings, type FleetSettings} from './version/fleet-settings.ts';
/* eslint-enable import-x/order */

/** Interval at which the settings file is compared with what was read last, in milliseconds. */
const settingsCheckIntervalMs = 5000;

handleUncaughtErrors();

async function main(): Promise<void> {
	const file = new SettingsFile(platformSettingsPath(process.env));
	const text = await file.read();
	file.remember(text);
	await parseFleetSettings(text, file.path).caseOf({
		async Left(findings) {
			for (const finding of findings) {
				console.error(formatFinding(finding));
			}

			process.exitCode = 1;
		},
		async Right(value) {
			await serve(value, file);
		},
	});
}

async function serve(settings: FleetSettings, file: SettingsFile): Promise<void> {
	const log = new DecisionLog({daemon: settings.daemon.name});
	const daemon = new FleetDaemon({
		settings, platform: createPlatform(settings.store.address, settings.duties?.address), log, seed: Math.floor(Math.random() * (2 ** 31)),
	});
	await daemon.start();
	// The platform may change the file without a signal.
	setInterval(() => {
		void reloadIfChanged(file, daemon, log);
	}, settingsCheckIntervalMs);
	let isStopping = false;
	const stopOnce = () => {
		if (!isStopping) {
			isStopping = true;
			void stopAndExit(daemon);
		}
	};

	endGracefully(error => {
		process.exitCode = 1;
		stopOnce();
		daemon.recordFailure(error);
	});
	handleSignals(signal => {
		log.write('process.signal', {signal});
		if (signal === 'SIGHUP') {
			void reloadIfChanged(file, daemon, log, true);
		} else {
			stopOnce();
		}
	});
}

/** Applies the settings if the file has changed, or in any case if `isForced`; a file with findings is rejected as a whole. */
async function reloadIfChanged(file: SettingsFile, daemon: FleetDaemon, log: DecisionLog, isForced = false): Promise<void> {
	try {
		const text = await file.read();
		if (isForced || file.hasChanged(text)) {
			parseFleetSettings(text, file.path).caseOf({
				Left(findings) {
					log.write('process.reloadFailed', {findings: findings.map(finding => formatFinding(finding))});
				},
				Right(settings) {
					daemon.reload(settings);
				},
			});
		}

		file.remember(text);
	} catch (error) {
		log.write('process.reloadFailed', {cause: error instanceof Error ? error.message : String(error)});
	}
}

async function stopAndExit(daemon: FleetDaemon): Promise<void> {
	try {
		await daemon.stop();
	} catch (error) {
		process.exitCode = 1;
		reportUncaughtError(error);
	}

	// Connections that are still open have no request in flight.
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit();
}

// The daemon is bundled as CommonJS, which has no top-level await.
// eslint-disable-next-line unicorn/prefer-top-level-await
void main().catch(reportUncaughtError);
