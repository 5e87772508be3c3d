//! An engine that streams the number of events given in the request path.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Bench-Id: r1\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";

/// Starts the engine on a free port and returns its address.
pub async fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                // Errors are ignored, since a caller may disconnect; the client checks what it received.
                let _ = serve(stream).await;
            });
        }
    });
    Ok(address)
}

async fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut read = Vec::new();
    let mut buf = [0; 4096];
    while !read.ends_with(b"{}") {
        let count = stream.read(&mut buf).await?;
        if count == 0 {
            return Ok(());
        }
        read.extend_from_slice(&buf[..count]);
    }
    let text = String::from_utf8_lossy(&read);
    let mut path = text.split(['/', ' ']).skip(3);
    let mut number = || {
        path.next()
            .and_then(|text| text.parse::<u64>().ok())
            .unwrap_or(1)
    };
    let (events, gap) = (number(), Duration::from_micros(number()));
    stream.write_all(HEAD.as_bytes()).await?;
    for id in 1..=events {
        let event = format!("id: {id}\ndata: {:>50}\n\n", id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
        if !gap.is_zero() {
            tokio::time::sleep(gap).await;
        }
    }
    stream.write_all(b"0\r\n\r\n").await
}
