//! Runs a node and platform stand-ins in one process, starts a generation, makes its
//! engine fail midway and prints the output of the resumed generation.

use std::{io::Write as _, net::SocketAddr, thread};

use eyre::{Result, bail, eyre};
use parsleylatch::{
    bench::caller::{Caller, GenerationResponse, StreamEnding, check_response},
    node::Node,
    settings::{Document, KeyDigest, NodeSettings},
    standin::{
        Engine, EngineFault, EngineSettings, FaultSpec, Store, StoreSettings, VmList,
        VmListSettings,
    },
    types::{Millis, RequestId, TokenCount, TokenIndex},
    wire::{
        caller::GenerationBody,
        platform::{VmEntry, VmRole},
    },
};
use tokio::runtime::Builder;

/// Caller key of the workspace that the quick start creates.
const KEY: &str = "quickstart-key";
/// Number of tokens to generate.
const ANSWER_TOKENS: TokenCount = TokenCount::new(60);
/// Index of the token before which the engine cuts the stream.
const FAIL_AT: TokenIndex = TokenIndex::new(25);

/// Platform stand-ins, which stop when this is dropped.
struct Platform {
    engines: Vec<Engine>,
    store: Store,
    vm_list: VmList,
}

fn main() -> Result<()> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let platform = runtime.block_on(async { start_platform() })?;
    let store = platform.store.server.addresses.address;
    let vm_list = platform.vm_list.server.addresses.address;
    let node = thread::spawn(move || Node::start(node_settings(store, vm_list)?));
    let node = node.join().map_err(|_| eyre!("the node panicked"))??;
    println!("node listening for callers on {}", node.addresses().caller);
    for engine in &platform.engines {
        let fault_spec = FaultSpec {
            fault: EngineFault::Cut,
            at_index: Some(FAIL_AT),
            delay_ms: None,
        };
        engine.inject_fault(fault_spec);
    }
    let caller = node.addresses().caller;
    runtime.block_on(generate(caller, &platform.engines))?;
    node.stop();
    node.join()
}

fn start_platform() -> Result<Platform> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = VmListSettings {
        address: any_port,
        control: any_port,
        lag_ms: Millis::ZERO,
    };
    let vm_list = VmList::start(&settings)?;
    let mut engines = Vec::new();
    for index in 1..=2 {
        let engine = Engine::start(EngineSettings::local("drafts".parse()?, "v1".parse()?))?;
        vm_list.put(VmEntry {
            id: format!("engine-{index}").parse()?,
            address: engine.server.addresses.address,
            failure_domain: format!("domain-{index}").parse()?,
            region: "region-1".parse()?,
            role: VmRole::Engine {
                model: "drafts".parse()?,
                endpoint_version: "v1".parse()?,
            },
            leaving: false,
        });
        engines.push(engine);
    }
    let store = Store::start(&StoreSettings::local())?;
    store.put("templates/quickstart", &template());
    Ok(Platform {
        engines,
        store,
        vm_list,
    })
}

fn template() -> String {
    let digest = KeyDigest::of_key(KEY);
    format!(
        r#"{{ "workspace": "quickstart", "key_sha256": ["{digest}"], "tier": "paying",
             "model": "drafts", "endpoint_versions": ["v1"] }}"#
    )
}

fn node_settings(store: SocketAddr, vm_list: SocketAddr) -> Result<NodeSettings> {
    let text = format!(
        r#"{{ "node_id": "node-1", "failure_domain": "domain-1", "region": "region-1",
             "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
             "peer_address": "127.0.0.1:0", "store_address": "{store}",
             "vm_list_address": "{vm_list}" }}"#
    );
    Ok(NodeSettings::read(&Document::new("quickstart", &text))?)
}

async fn generate(node: SocketAddr, engines: &[Engine]) -> Result<()> {
    let body = GenerationBody {
        model: "drafts".parse()?,
        prompt: "Brief the crew for the blocked drain at the hotel.".to_owned(),
        max_tokens: ANSWER_TOKENS,
        seed: None,
        adapter: None,
    };
    let caller = Caller::new(node, KEY);
    let GenerationResponse::Events(events) = caller.generate(RequestId::generate(), &body).await?
    else {
        bail!("the node refused the request");
    };
    let collected = events
        .collect(|token| print_token(token.data.index, &token.data.text, engines))
        .await;
    println!();
    let StreamEnding::Done(done) = collected.ending else {
        bail!("the generation ended with {:?}", collected.ending);
    };
    let tokens: Vec<_> = collected
        .tokens
        .into_iter()
        .map(|token| token.data)
        .collect();
    check_response(&body, &tokens, &done)?;
    println!(
        "generation complete: {} tokens from version {} in {} attempts, all tokens verified",
        tokens.len(),
        done.endpoint_version,
        done.attempts
    );
    Ok(())
}

/// Prints a token. At the failure point, clears the pending fault of every engine but
/// the one that is serving, so that the generation can resume.
fn print_token(index: TokenIndex, text: &str, engines: &[Engine]) {
    print!("{text}");
    let _ = std::io::stdout().flush();
    if index.next() == FAIL_AT {
        println!("\n-- engine failure injected here; the node resumes on another engine --");
        let serving = engines
            .iter()
            .max_by_key(|engine| engine.generated_tokens());
        for engine in engines {
            let is_serving = serving.is_some_and(|serving| std::ptr::eq(serving, engine));
            if !is_serving {
                let fault_spec = FaultSpec {
                    fault: EngineFault::None,
                    at_index: None,
                    delay_ms: None,
                };
                engine.inject_fault(fault_spec);
            }
        }
    }
}
